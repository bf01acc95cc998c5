/// @file
/// The digest by which a request that comes again is known, whatever its id, machine and deadline. Its values
/// are on the wire, in logs and in the store. Pure.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/serialize_all.hpp"
#include "protocol/strong_id.hpp"

namespace anisehold {

/// 128 bits of XXH3 over what makes two requests the same; not for security. Two of a million different
/// requests share one with a chance of 1e-27.
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

/// Nothing unless the text is 32 hexadecimal digits.
std::optional<RequestDigest> parse_request_digest(std::string_view text);

/// Tells callers apart: a digest of the name of the service on the machine where the request began.
using CallerDigest = Strong<struct CallerDigestTag, std::uint64_t>;

CallerDigest caller_digest(std::string_view service);

/// A request that comes again, and who sends it. Not one digest: the same request may come from several
/// callers, and what is known of one is then worth something for the others.
struct RequestIdentity {
    RequestDigest digest;
    CallerDigest caller;

    bool operator==(const RequestIdentity&) const = default;
};

/// What makes two requests the same. Neither id nor deadline nor other header lines do.
struct RequestTraits {
    std::string_view method;
    std::string_view host;
    std::string_view target;  ///< Path and query.
    /// The whole body, or what was read of one that is streamed: two long bodies that begin alike count as
    /// the same.
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
