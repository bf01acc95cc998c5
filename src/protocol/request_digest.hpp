/// @file
/// Digest that identifies a repeated request regardless of its id, machine and deadline. The values are part
/// of the wire, log and storage formats. Pure.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/serialize_all.hpp"
#include "protocol/strong_id.hpp"

namespace anisehold {

/// 128-bit XXH3 digest of the traits that identify a request; not cryptographically secure. The probability
/// of a collision between two of a million different requests is 1e-27.
struct RequestDigest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    bool operator==(const RequestDigest&) const = default;
    /// 32 lower-case hexadecimal digits.
    std::string text() const;

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, high, low);
    }
};

/// Parses 32 hexadecimal digits; empty for any other text.
std::optional<RequestDigest> parse_request_digest(std::string_view text);

/// Identifies a caller: a digest of the name of the service on the machine where the request originated.
using CallerDigest = Strong<struct CallerDigestTag, std::uint64_t>;

CallerDigest caller_digest(std::string_view service);

/// Identifies a repeated request and its caller. The two digests are kept apart because several callers may
/// send the same request, and information about one caller's request is useful for the others.
struct RequestIdentity {
    RequestDigest digest;
    CallerDigest caller;

    bool operator==(const RequestIdentity&) const = default;
};

/// The traits by which two requests are considered the same. Ids, deadlines and other headers are excluded.
struct RequestTraits {
    std::string_view method;
    std::string_view host;
    std::string_view target;  ///< Path and query.
    /// The whole body, or the part read so far of a streamed body: two long bodies with the same beginning
    /// are considered the same.
    std::string_view body;
};

RequestDigest digest_of(const RequestTraits& traits);

}  // namespace anisehold

template <>
struct std::hash<anisehold::RequestDigest> {
    std::size_t operator()(const anisehold::RequestDigest& digest) const { return digest.low; }
};

template <>
struct std::hash<anisehold::RequestIdentity> {
    std::size_t operator()(const anisehold::RequestIdentity& request) const {
        return request.digest.low ^ request.caller.value;
    }
};
