/** Random faults in simulated time: messages that are lost, delayed or repeated, and kills and pauses of
   callers and gates. The real gate (ServerGate and GrantTable) and the real state of callers decide; the
   simulation only carries messages, as sidecar/hop_client and sidecar/gate_reservations do.

    Guards against a request that runs twice, a request that was reported as not run and ran, more requests at
    a server than its limit, and slots that stay occupied after all callers have gone. */

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>

#include "admission/policy/fixed_limit.hpp"
#include "reservation/caller_reservation.hpp"
#include "reservation/grant_table.hpp"

using namespace anisehold;
using namespace anisehold::reservation;
using admission::CommitVerdict;

namespace
{

constexpr std::size_t numGates = 3;
constexpr std::size_t numCallers = 4;
constexpr int numRequests = 4'000;
constexpr milliseconds loadTime{ 4'000 };
constexpr unsigned maxTries = 4;
constexpr milliseconds requestTime{ 900 };

enum class Belief
{
    open,
    notRun,
    unknown,
    answered
};

struct Request
{
    std::size_t caller = 0;
    CallerReservation state;
    std::size_t gate = 0;
    unsigned tries = 0;
    std::uint64_t awaited = 0; /**< The message whose reply the caller waits for. */
    TimePoint deadline;
    Belief belief = Belief::open;
    int runs = 0;
};

struct Reply
{
    ReserveVerdict verdict = ReserveVerdict::unknown;
    std::uint64_t number = 0;
};

/** A daemon or its gate: events of an earlier process are dropped, those of a paused one are deferred. */
struct Process
{
    unsigned boot = 0;
    TimePoint pausedUntil;
};

struct Gate : Process
{
    std::unique_ptr<admission::ServerGate> gate;
    GrantTable table;
    std::map<std::uint64_t, std::function<void()>> waiters; /**< By run. */
    std::map<std::uint64_t, std::uint64_t> placeOfMessage;  /**< Awaited place of each open message. */
    unsigned executing = 0;
    unsigned limit = 0;
};

class Simulation
{
public:
    explicit Simulation (std::uint64_t seed)
        : random (seed),
          requests (numRequests)
    {
        for (auto& it : gates)
            restart (it);
    }

    void run()
    {
        for (auto& request : requests)
            at (now + between (milliseconds (0), loadTime), [this, &request] { begin (request); });

        for (int n = 0; n < 24; ++n)
            at (now + between (milliseconds (0), loadTime), [this] { fault(); });

        const auto end = now + loadTime + seconds (3);

        while (! events.empty() && events.begin()->first < end)
        {
            auto event = events.extract (events.begin());
            now = std::max (now, event.key());
            event.mapped()();
        }

        now = end;

        for (auto& it : gates)
            expireAt (it);
    }

    void check() const
    {
        for (const auto& request : requests)
        {
            CHECK (request.runs <= 1);
            CHECK_FALSE ((request.belief == Belief::notRun && request.runs > 0));
            CHECK_FALSE ((request.belief == Belief::answered && request.runs != 1));
        }

        for (const auto& it : gates)
        {
            CHECK (it.gate->load().in_flight == 0);
            CHECK (it.gate->load().queued == 0);
            CHECK (it.table.places.empty());
            CHECK (it.table.numberOfRun.empty());
        }
    }

    int count (Belief belief) const
    {
        return static_cast<int> (std::count_if (requests.begin(), requests.end(),
                                                [&] (const Request& it) { return it.belief == belief; }));
    }

    int numExpired = 0;
    int numCommitWaits = 0;
    int numCommitsRefused = 0;
    bool hasExceededLimit = false;

private:
    using Action = std::function<void()>;

    Duration between (Duration min, Duration max)
    {
        const auto span = static_cast<std::uint64_t> ((max - min).count()) + 1;
        return min + Duration (static_cast<long long> (random() % span));
    }

    bool happens (unsigned perThousand) { return random() % 1'000 < perThousand; }

    void at (TimePoint time, Action action) { events.emplace (time, std::move (action)); }

    void atProcess (TimePoint time, Process& process, unsigned boot, Action action)
    {
        at (time,
            [this, &process, boot, action = std::move (action)]
            {
                if (process.boot != boot)
                    return;

                if (now < process.pausedUntil)
                    return atProcess (process.pausedUntil, process, boot, action);

                action();
            });
    }

    /** Carries a message to a process, unless it is lost. */
    void send (Process& to, Action action)
    {
        if (happens (20))
            return;

        const auto delay = happens (30) ? between (milliseconds (20), milliseconds (300))
                                        : between (microseconds (100), milliseconds (3));
        atProcess (now + delay, to, to.boot, std::move (action));
    }

    void restart (Gate& it)
    {
        ++it.boot;
        it.limit = 1 + static_cast<unsigned> (random() % 24);
        it.gate = std::make_unique<admission::ServerGate> (std::make_unique<admission::FixedLimit> (it.limit),
                                                           admission::GateOptions{ true, 1.5 });
        it.table = {};
        it.waiters.clear();
        it.placeOfMessage.clear();
        it.executing = 0;
    }

    void fault()
    {
        const auto pauseEnd = now + between (milliseconds (10), milliseconds (500));

        switch (random() % 4)
        {
            case 0:
                restart (gates[random() % numGates]);
                break;
            case 1:
                gates[random() % numGates].pausedUntil = pauseEnd;
                break;
            case 2:
                callers[random() % numCallers].pausedUntil = pauseEnd;
                break;
            default:
                ++callers[random() % numCallers].boot;
                break;
        }
    }

    //==============================================================================
    void begin (Request& request)
    {
        request.caller = random() % numCallers;
        request.deadline = now + requestTime;
        request.gate = random() % numGates;
        tryGate (request);
    }

    void tryGate (Request& request)
    {
        if (request.tries++ >= maxTries)
        {
            request.belief = Belief::notRun;
            return;
        }

        request.gate = (request.gate + 1) % numGates;
        request.state = beginReservation (now, milliseconds (120));
        ask (request);
    }

    void ask (Request& request)
    {
        const auto message = ++lastMessage;
        request.awaited = message;
        auto& caller = callers[request.caller];
        auto& gate = gates[request.gate];
        const auto ticket = request.state.ticket;
        send (gate, [this, &gate, &request, message, ticket, boot = caller.boot]
              { onReserve (gate, request, message, ticket, boot); });
        atProcess (replyDeadline (now), caller, caller.boot,
                   [this, &request, &gate, message]
                   {
                       if (request.awaited != message)
                           return;

                       request.awaited = 0;
                       onSilence (request.state);
                       send (gate, [this, &gate, message] { onDisconnect (gate, message); });
                       tryGate (request);
                   });
    }

    void reply (Request& request, std::uint64_t message, unsigned boot, Reply result)
    {
        auto& caller = callers[request.caller];

        if (caller.boot == boot)
            send (caller,
                  [this, &request, message, result]
                  {
                      if (request.awaited == message)
                          onReply (request, result);
                  });
    }

    void onReply (Request& request, const Reply& result)
    {
        request.awaited = 0;

        if (result.verdict == ReserveVerdict::granted)
        {
            onGranted (request.state, now, result.number, grantValidity);
            // The processor may be busy with other work in between.
            auto& caller = callers[request.caller];
            atProcess (now + between (microseconds (0), microseconds (300)), caller, caller.boot,
                       [this, &request] { sendRequest (request); });
            return;
        }

        if (result.verdict == ReserveVerdict::waiting)
            onWaiting (request.state, now, result.number);
        else
            onRefused (request.state);

        if (request.state.phase == CallerPhase::reserving)
            ask (request);
        else
            tryGate (request);
    }

    void sendRequest (Request& request)
    {
        auto& gate = gates[request.gate];

        if (happens (20) || ! tryCommit (request.state, now))
        {
            send (gate, [this, &gate, number = request.state.grant] { onWithdraw (gate, number); });
            tryGate (request);
            return;
        }

        const auto message = ++lastMessage;
        request.awaited = message;
        auto& caller = callers[request.caller];
        send (gate, [this, &gate, &request, message, number = request.state.grant, boot = caller.boot]
              { onCommit (gate, request, message, number, boot); });

        atProcess (std::max (now, request.deadline), caller, caller.boot,
                   [&request, message]
                   {
                       if (request.awaited != message)
                           return;

                       request.awaited = 0;
                       request.belief = mayHaveRun (request.state) ? Belief::unknown : Belief::notRun;
                   });
    }

    void replyToCommit (Request& request, std::uint64_t message, unsigned boot, bool hasRun)
    {
        auto& caller = callers[request.caller];

        if (message == 0 || caller.boot != boot)
            return;

        send (caller,
              [this, &request, message, hasRun]
              {
                  if (request.awaited != message)
                      return;

                  request.awaited = 0;
                  onSettled (request.state);

                  if (hasRun)
                      request.belief = Belief::answered;
                  else
                      tryGate (request);
              });
    }

    //==============================================================================
    void onReserve (Gate& it, Request& request, std::uint64_t message, std::uint64_t ticket, unsigned boot)
    {
        expireAt (it);
        admission::GateCall call;
        call.id = ++lastRun;
        call.priority = static_cast<unsigned> (random() % 3);
        call.root_started = now;
        call.deadline = now + milliseconds (800);
        call.latest_start = now + milliseconds (120);
        const auto decision = ticket != 0
                                  ? renew (it.table, now, ticket)
                                  : reserve (*it.gate, it.table, now, call, [this] { return random(); });

        if (decision.evicted)
        {
            onEvicted (it.table, *decision.evicted);
            wakeWaiter (it, *decision.evicted);
        }

        if (decision.verdict != ReserveVerdict::waiting)
            return reply (request, message, boot, { decision.verdict, decision.number });

        it.placeOfMessage[message] = decision.number;
        it.waiters[decision.run] = [this, &it, &request, message, boot, decision]
        { decide (it, request, message, boot, decision); };
        atProcess (std::min<TimePoint> (now + maxReplyDelay, decision.waitEnds), it, it.boot,
                   [this, &it, run = decision.run] { wakeWaiter (it, run); });
    }

    /** The wait of a message has ended: by a decision, or because the reply is due. */
    void decide (Gate& it, Request& request, std::uint64_t message, unsigned boot,
                 const ReserveDecision& decision)
    {
        it.placeOfMessage.erase (message);
        const auto found = it.table.places.find (decision.number);

        if (found == it.table.places.end())
            return reply (request, message, boot, { ReserveVerdict::unknown, 0 });

        if (found->second.isGranted)
            return reply (request, message, boot, { ReserveVerdict::granted, decision.number });

        if (now >= decision.waitEnds)
        {
            onWithdraw (it, decision.number);
            return reply (request, message, boot, { ReserveVerdict::refused, 0 });
        }

        onReplied (it.table, now, decision.number);
        reply (request, message, boot, { ReserveVerdict::waiting, decision.number });
    }

    void wakeWaiter (Gate& it, std::uint64_t run)
    {
        auto waiter = it.waiters.extract (run);

        if (! waiter.empty())
            waiter.mapped()();
    }

    void wakeAdmitted (Gate& it, const std::vector<std::uint64_t>& admitted)
    {
        for (const auto run : admitted)
        {
            onAdmitted (it.table, now, run);
            wakeWaiter (it, run);
        }
    }

    void onDisconnect (Gate& it, std::uint64_t message)
    {
        const auto found = it.placeOfMessage.find (message);

        if (found == it.placeOfMessage.end())
            return;

        const auto number = found->second;
        it.placeOfMessage.erase (found);
        const auto place = it.table.places.find (number);

        if (place != it.table.places.end())
            it.waiters.erase (place->second.run);

        onWithdraw (it, number);
    }

    void onWithdraw (Gate& it, std::uint64_t number)
    {
        wakeAdmitted (it, withdraw (*it.gate, it.table, now, number).admitted);
    }

    void expireAt (Gate& it)
    {
        const auto ended = expire (*it.gate, it.table, now);
        numExpired += static_cast<int> (ended.grants + ended.places);
        wakeAdmitted (it, ended.admitted);
    }

    void onCommit (Gate& it, Request& request, std::uint64_t message, std::uint64_t number, unsigned boot)
    {
        // A second request with the same grant, after the first one; its reply reaches nobody.
        if (message != 0 && happens (50))
            atProcess (now + between (microseconds (0), milliseconds (300)), it, it.boot,
                       [this, &it, &request, number, boot] { onCommit (it, request, 0, number, boot); });

        const auto run = ++lastRun;
        const auto verdict = commit (*it.gate, it.table, now, number, run);

        if (! verdict)
        {
            ++numCommitsRefused;
            return replyToCommit (request, message, boot, false);
        }

        if (verdict == CommitVerdict::kRuns)
            return execute (it, request, message, run, boot);

        ++numCommitWaits;
        it.waiters[run] = [this, &it, &request, message, run, boot]
        { execute (it, request, message, run, boot); };
        atProcess (now + milliseconds (15), it, it.boot,
                   [this, &it, &request, message, run, boot]
                   {
                       if (it.waiters.erase (run) == 0)
                           return;

                       wakeAdmitted (it, it.gate->free_reserved (now, run));
                       replyToCommit (request, message, boot, false);
                   });
    }

    void execute (Gate& it, Request& request, std::uint64_t message, std::uint64_t run, unsigned boot)
    {
        ++request.runs;
        hasExceededLimit = hasExceededLimit || ++it.executing > it.limit;
        atProcess (now + between (milliseconds (5), milliseconds (60)), it, it.boot,
                   [this, &it, &request, message, run, boot]
                   {
                       --it.executing;
                       expireAt (it);
                       wakeAdmitted (it, it.gate->finish (now, run, admission::SampleOutcome::kCompleted,
                                                          Duration::zero()));
                       replyToCommit (request, message, boot, true);
                   });
    }

    std::mt19937_64 random;
    std::vector<Request> requests;
    std::array<Gate, numGates> gates;
    std::array<Process, numCallers> callers;
    std::multimap<TimePoint, Action> events;
    TimePoint now{ seconds (1'000) };
    std::uint64_t lastMessage = 0;
    std::uint64_t lastRun = 0;
};

} // namespace

TEST_CASE ("no request runs twice, no report of a request that has not run is false, and no slot is leaked")
{
    int numAnswered = 0;
    int numNotRun = 0;
    int numUnknown = 0;
    int numExpired = 0;
    int numCommitWaits = 0;
    int numCommitsRefused = 0;

    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        INFO ("seed " << seed);
        Simulation simulation (seed);
        simulation.run();
        simulation.check();
        CHECK_FALSE (simulation.hasExceededLimit);
        numAnswered += simulation.count (Belief::answered);
        numNotRun += simulation.count (Belief::notRun);
        numUnknown += simulation.count (Belief::unknown);
        numExpired += simulation.numExpired;
        numCommitWaits += simulation.numCommitWaits;
        numCommitsRefused += simulation.numCommitsRefused;
    }

    // Each of these ends must occur, otherwise the checks above prove nothing.
    UNSCOPED_INFO ("answered " << numAnswered << ", not run " << numNotRun << ", unknown " << numUnknown
                               << ", expired " << numExpired << ", waits of commits " << numCommitWaits
                               << ", commits refused " << numCommitsRefused);
    CHECK (numAnswered > 10'000);
    CHECK (numNotRun > 100);
    CHECK (numUnknown > 100);
    CHECK (numExpired > 100);
    CHECK (numCommitWaits > 100);
    CHECK (numCommitsRefused > 100);
}
