/** The promises that the soak checks, from what clients and servers saw.

    Nothing of the system's own logs or state is used. Pure: observations in, broken promises out.
*/
#pragma once

#include <deque>
#include <map>
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

/** What must hold for every request. */
enum class Promise
{
    runsOnce,         /**< A request that may not be repeated ran more than once. */
    refusedNeverRuns, /**< It was refused with a promise that it has not run, and ran. */
    answerIsOwn,      /**< A success that isn't the server's whole signed answer to this request. */
    nothingUnasked,   /**< A server got an id that no client sent, or another target. */
    rightService,     /**< It ran at another service than its route's. */
    boundedServers,   /**< It reached more servers than its route allows. */
    drainedIsLeft,    /**< It reached a server long after the leave was acknowledged. */
    answeredInTime,   /**< Still no answer long after its deadline, at a machine without a fault. */
    recovers,         /**< After the last fault the share of served requests stays low. */
    staysAlive,       /**< A process ended by itself. */
    tenantIsSet,      /**< A server got another tenant than its key's. */
    keyIsHidden,      /**< A server was shown the caller's key. */
    revokedIsRefused, /**< It ran although its key had been taken away long before it was sent. */
    limitIsKept, /**< A server got more than the rate that it named, from machines that had passed that on. */
    leavingIsFinal /**< It reached a server long after its machine had passed on that this one leaves. */
};

/** The promise's name in reports. */
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
    unsigned maxServers = 2;     /**< Of its route. */
    std::string tenant{};        /**< That holds its key; empty without one. */
    bool usesRevokedKey = false; /**< Its key is one that is taken away in the course of the round. */
    TimePoint at{};
    std::size_t machine = 0; /**< Where its client sent it. */
};

/** What its client got. */
struct ReceivedAnswer
{
    RequestId id;
    unsigned status = 0; /**< 0: no answer. */
    std::string echoedId;
    std::string signature;
    std::string body;
    bool namesLimit = false;       /**< Its server names a rate limit in it. */
    bool announcesLeaving = false; /**< Its server says in it that it leaves. */
    TimePoint at{};
};

/** What a server saw of it. */
struct Arrival
{
    RequestId id;
    InstanceId instance;
    std::string service;
    std::string target;
    bool runs = false;
    TimePoint at;
    std::string tenant{}; /**< That the server got. */
    bool showsKey = false;
};

/** Collects what was seen and names each promise that it breaks. */
class PromiseChecker
{
public:
    /** `drainTimeout`: after an acknowledged leave, arrivals are allowed for this long. `revocation`: after a
        key was taken away, it may be served for this long. */
    PromiseChecker (Duration drainTimeoutToUse, Duration revocationToUse)
        : drainTimeout (drainTimeoutToUse),
          revocation (revocationToUse)
    {
    }

    void onSent (const SentRequest&);
    void onAnswer (const ReceivedAnswer&);
    void onArrival (const Arrival&);
    /** The store acknowledged that the key of `usesRevokedKey` was taken away. */
    void onKeyTakenAway (TimePoint at) { keyTakenAway = at; }
    void onLeaveAcknowledged (const InstanceId&, TimePoint at);
    /** The server names a rate limit, in requests a second, in [`from`, `until`). */
    void onLimitNamed (const InstanceId&, double perS, TimePoint from, TimePoint until);
    /** The machine's process or links are disturbed until then: what it had passed on binds it no more. A cut
        alone excuses nothing from a server's leaving. */
    void onMachineDisturbed (std::size_t machine, TimePoint until, bool isProcess);
    void report (Promise, std::string detail);

    /** Checks what only the end can tell: that what was refused never ran. */
    void finish();

    const std::vector<BrokenPromise>& broken() const { return found; }
    std::size_t numSent() const { return requests.size(); }
    std::size_t numServed() const { return served; }

private:
    struct Request
    {
        SentRequest sent;
        unsigned runs = 0;
        unsigned servers = 0;
        unsigned refusedWith = 0; /**< Status that promised that it has not run; 0: none. */
    };

    /** A machine and a server. */
    using Pair = std::pair<std::size_t, InstanceId>;

    struct NamedLimit
    {
        double perS = 0;
        TimePoint from;
        TimePoint until;
        std::deque<TimePoint> arrivals; /**< Those that count, of the last window. */
        bool isBroken = false;
    };

    void recordNotices (const Request&, const ReceivedAnswer&);
    void checkLimit (std::size_t machine, const Arrival&);
    void checkLeaving (const SentRequest&, const Arrival&);
    void checkSuccess (const Request&, const ReceivedAnswer&);
    void checkTenant (const SentRequest&, const Arrival&);

    Duration drainTimeout;
    Duration revocation;
    TimePoint keyTakenAway = TimePoint::max();
    std::map<RequestId, Request> requests;
    std::map<InstanceId, TimePoint> left;
    std::map<InstanceId, NamedLimit> limits;
    std::map<Pair, TimePoint> limitForwardedAt;   /**< When the machine passed on such an answer first. */
    std::map<Pair, TimePoint> leavingForwardedAt; /**< The same. */
    std::map<std::size_t, TimePoint> disturbedUntil;
    std::vector<BrokenPromise> found;
    std::size_t served = 0;
};

} // namespace anisehold::soak
