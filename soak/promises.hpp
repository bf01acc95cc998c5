/** The guarantees that the soak test checks, based on what clients and servers observe.

    Nothing from the system's own logs or state is used. Pure: observations in, broken promises out.
*/
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "protocol/strong_id.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::soak
{

using RequestId = Strong<struct RequestIdTag, std::string>;
using InstanceId = Strong<struct InstanceIdTag, std::string>;

/** A guarantee that must hold for every request. */
enum class Promise
{
    runsOnce,         /**< A request that must not be repeated ran more than once. */
    refusedNeverRuns, /**< The request ran although it was refused with a status that promises that it has not
                         run. */
    answerIsOwn, /**< A successful response is not the server's complete, signed response to this request. */
    nothingUnasked,   /**< A server received an id that no client sent, or a changed target. */
    rightService,     /**< The request ran at another service than its route's. */
    boundedServers,   /**< The request reached more servers than its route allows. */
    drainedIsLeft,    /**< The request reached a server long after the server's leave was acknowledged. */
    answeredInTime,   /**< The request got no response until long after its deadline, at a machine without a
                         fault. */
    recovers,         /**< The share of served requests stayed low after the last fault. */
    staysAlive,       /**< A process ended by itself. */
    tenantIsSet,      /**< A server received another tenant than the key's. */
    keyIsHidden,      /**< A server received the caller's key. */
    revokedIsRefused, /**< The request ran although its key had been revoked long before. */
    limitIsKept, /**< A server received more than its stated rate from machines that forwarded the limit. */
    leavingIsFinal, /**< The request reached a server long after its machine had forwarded that the server
                       leaves. */
    takenIsAnswered /**< A machine that stopped as planned broke off a request that it had taken. */
};

/** Returns the promise's name in reports. */
std::string_view nameOf (Promise);

struct BrokenPromise
{
    Promise promise = Promise::runsOnce;
    std::string detail;
};

/** A request as its client sends it. */
struct SentRequest
{
    RequestId id;
    std::string service;
    std::string target;
    bool mayRepeat = false;
    unsigned maxServers = 2;     /**< Maximum of the request's route. */
    std::string tenant{};        /**< The tenant that holds the request's key; empty without a key. */
    bool usesRevokedKey = false; /**< The key is revoked during the round. */
    TimePoint at{};
    std::size_t machine = 0;             /**< The machine to which the client sent the request. */
    Duration timeLeft = Duration::max(); /**< Time for which the client waits. */
    /** Maximum number of sends to servers. More than `maxServers` where a request that a server declined, and
        that has not run, may be offered to the same servers again. */
    unsigned maxArrivals = 2;
};

/** The response that a client received. */
struct ReceivedAnswer
{
    RequestId id;
    unsigned status = 0; /**< 0: no response. */
    std::string echoedId;
    std::string signature;
    std::string body;
    bool namesLimit = false;       /**< The response states a rate limit of its server. */
    bool announcesLeaving = false; /**< The response states that its server is leaving. */
    TimePoint at{};
};

/** A request as received by a server. */
struct Arrival
{
    RequestId id;
    InstanceId instance;
    std::string service;
    std::string target;
    bool runs = false;
    TimePoint at;
    std::string tenant{}; /**< The tenant that the server received. */
    bool showsKey = false;
};

/** Collects observations and reports each promise that they break. */
class PromiseChecker
{
public:
    /** `drainTimeout`: how long arrivals are allowed after an acknowledged leave. `revocation`: how long a
        key may be accepted after it was revoked. */
    PromiseChecker (Duration drainTimeoutToUse, Duration revocationToUse)
        : drainTimeout (drainTimeoutToUse),
          revocation (revocationToUse)
    {
    }

    void onSent (const SentRequest&);
    void onAnswer (const ReceivedAnswer&);
    void onArrival (const Arrival&);
    /** Records when the store acknowledged the revocation of the key of `usesRevokedKey`. */
    void onKeyRevoked (TimePoint at) { keyRevokedAt = at; }
    void onLeaveAcknowledged (const InstanceId&, TimePoint at);
    /** The server states a rate limit, in requests per second, in [`from`, `until`). */
    void onLimitNamed (const InstanceId&, double perS, TimePoint from, TimePoint until);
    /** The machine's process or links are disturbed until `until`, so limits that it forwarded before no
        longer bind it. Disturbed links alone do not affect the check of a server's leaving. */
    void onMachineDisturbed (std::size_t machine, TimePoint until, bool isProcess);
    void report (Promise, std::string detail);

    /** The machine got a stop signal at `at` and may take `grace` to end. No other disturbance of the fleet
       is allowed from some seconds before until the machine has ended. */
    void onStopPlanned (std::size_t machine, TimePoint at, Duration grace);

    /** Checks at the end of a round that no refused request ran. */
    void finish();

    const std::vector<BrokenPromise>& broken() const { return found; }
    std::size_t numSent() const { return requests.size(); }
    std::size_t numServed() const { return served; }

private:
    struct Request
    {
        SentRequest sent;
        unsigned runs = 0;
        unsigned arrivals = 0;
        std::set<InstanceId> servers; /**< Servers that received the request. */
        unsigned refusedWith = 0;     /**< The status that promised that the request has not run; 0: none. */
    };

    /** A machine and a server. */
    using Pair = std::pair<std::size_t, InstanceId>;

    struct PlannedStop
    {
        TimePoint at;
        Duration grace{};
    };

    struct NamedLimit
    {
        double perS = 0;
        TimePoint from;
        TimePoint until;
        std::deque<TimePoint> arrivals; /**< The counted arrivals of the last window. */
        bool isBroken = false;
    };

    void recordNotices (const Request&, const ReceivedAnswer&);
    void checkLimit (std::size_t machine, const Arrival&);
    void checkLeaving (const SentRequest&, const Arrival&);
    void checkSuccess (const Request&, const ReceivedAnswer&);
    void checkTenant (const SentRequest&, const Arrival&);
    void checkTaken (const Request&, const ReceivedAnswer&);

    Duration drainTimeout;
    Duration revocation;
    TimePoint keyRevokedAt = TimePoint::max();
    std::map<RequestId, Request> requests;
    std::map<InstanceId, TimePoint> left;
    std::map<InstanceId, NamedLimit> limits;
    std::map<Pair, TimePoint>
        limitForwardedAt; /**< When the machine first forwarded a response that states a limit. */
    std::map<Pair, TimePoint>
        leavingForwardedAt; /**< When the machine first forwarded a response that states leaving. */
    std::map<std::size_t, TimePoint> disturbedUntil;
    std::map<std::size_t, PlannedStop> stops; /**< By machine. */
    std::vector<BrokenPromise> found;
    std::size_t served = 0;
};

} // namespace anisehold::soak
