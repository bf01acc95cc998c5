/** The promises that the soak checks, from what clients and servers saw.

    Nothing of the system's own logs or state is used. Pure: observations in, broken promises out.
*/
#pragma once

#include <map>
#include <string>
#include <string_view>
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
    revokedIsRefused  /**< It ran although its key had been taken away long before it was sent. */
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
    unsigned mostServers = 2;    /**< Of its route. */
    std::string tenant{};        /**< That holds its key; empty without one. */
    bool usesRevokedKey = false; /**< Its key is one that is taken away in the course of the round. */
    TimePoint at{};
};

/** What its client got. */
struct ReceivedAnswer
{
    RequestId id;
    unsigned status = 0; /**< 0: no answer. */
    std::string echoedId;
    std::string signature;
    std::string body;
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

    void checkSuccess (const Request&, const ReceivedAnswer&);
    void checkTenant (const SentRequest&, const Arrival&);

    Duration drainTimeout;
    Duration revocation;
    TimePoint keyTakenAway = TimePoint::max();
    std::map<RequestId, Request> requests;
    std::map<InstanceId, TimePoint> left;
    std::vector<BrokenPromise> found;
    std::size_t served = 0;
};

} // namespace anisehold::soak
