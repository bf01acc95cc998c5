/** What daemons ask each other about tenants: one datagram a message.

    A question carries the asker's clock reading, which the answer repeats: the asker counts all ages from
    before it asked, whatever time a datagram took.
*/
#pragma once

#include <boost/variant.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/endpoint.hpp"
#include "protocol/serialize_all.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::tenancy
{

/** Who asks, and when. */
struct Asker
{
    Endpoint replyTo;
    std::uint64_t bootId = 0; /**< Of the asking process: a predecessor's answers are dropped. */
    std::int64_t askedNs = 0; /**< Reading of its steady clock. */

    template <typename Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        serialize_all (archive, replyTo, bootId, askedNs);
    }
};

/** The asker's clock reading for a question that is sent at `now`. */
inline std::int64_t clockReading (TimePoint now)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds> (now.time_since_epoch()).count();
}

/** When the question was asked, on the asker's clock. */
inline TimePoint askedAt (const Asker& asker)
{
    return TimePoint (std::chrono::duration_cast<Duration> (std::chrono::nanoseconds (asker.askedNs)));
}

/** How fresh is your configuration? */
struct ProofQuestion
{
    Asker asker;

    template <typename Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        serialize_all (archive, asker);
    }
};

/** No version newer than `version` existed `ageMs` before this answer. */
struct ProofAnswer
{
    Asker asker;
    std::uint64_t version = 0;
    std::uint32_t ageMs = 0;

    template <typename Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        serialize_all (archive, asker, version, ageMs);
    }
};

/** Tokens of a tenant are wanted, and others come back. */
struct QuotaQuestion
{
    Asker asker;
    std::string tenant;
    std::uint32_t wanted = 0;
    std::uint32_t returned = 0;

    template <typename Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        serialize_all (archive, asker, tenant, wanted, returned);
    }
};

/** What the owner grants. */
struct QuotaAnswer
{
    Asker asker;
    std::string tenant;
    bool owns = false; /**< Otherwise it knows no such tenant, or is about to leave. */
    std::string
        firstOwner; /**< Another daemon that counts for the tenant, and has answered the sender lately. */
    std::uint32_t granted = 0;
    std::uint32_t untilNextMs = 0;
    std::uint32_t retryAfterMs = 0;

    template <typename Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        serialize_all (archive, asker, tenant, owns, firstOwner, granted, untilNextMs, retryAfterMs);
    }
};

using Message = boost::variant<ProofQuestion, ProofAnswer, QuotaQuestion, QuotaAnswer>;

std::string encode (const Message&);
/** Nothing if the bytes aren't such a message. */
std::optional<Message> decode (std::string_view);

} // namespace anisehold::tenancy
