/// @file
/// The attempts of one request: choosing servers, sending, sending again, taking in how attempts end.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "membership/peer_directory.hpp"
#include "net/fiber_signal.hpp"
#include "net/http_types.hpp"
#include "retry/attempt_plan.hpp"
#include "retry/window_budget.hpp"
#include "sidecar/attempt_outcome.hpp"
#include "sidecar/crash_exchange.hpp"
#include "sidecar/hop_client.hpp"
#include "sidecar/incoming_call.hpp"
#include "sidecar/local_gate.hpp"
#include "sidecar/server_chooser.hpp"
#include "sidecar/sidecar_context.hpp"

namespace anisehold::sidecar {

/// How the attempts of a request ended.
struct AttemptsEnd {
    std::optional<net::HttpResponse> response;  ///< What the caller gets, if a server answered.
    CallFailure failure;                        ///< Otherwise.
    bool may_have_run = false;                  ///< Whether a server may have run the request.
};

/// Carries out what the plan of each request (`retry::AttemptPlan`) says. Owns the connections to peers, the
/// budget of retries and what was seen of servers; what becomes of a request goes to the limit of root
/// requests and to the record of crashes.
class CallAttempts {
  public:
    CallAttempts(SidecarContext& context, membership::PeerDirectory& directory, LocalGate& gate,
                 CrashExchange& crashes);

    /// Sends the request until the plan says that it is over. Blocks the fiber. In this order:
    ///
    /// 1. take in how attempts ended;
    /// 2. choose a server (`ServerChooser`);
    /// 3. ask the plan for the next step: send, retry, wait, or one of the ends
    ///    (`kDeadlineExceeded` or `kQueueTimeout` when the time is up, `kOutcomeUnknown` when it may have
    ///    run, otherwise what the last attempt was refused with);
    /// 4. before a sending: the request may have been condemned meanwhile (`kCrashesServers`), or its caller
    ///    gone (`kCancelled`);
    /// 5. before a retry: the budget (`retry::WindowBudget`); without one the request waits for its attempts.
    AttemptsEnd run(IncomingCall& call, net::HttpRequest& request, net::CancelSignal& cancel);
    /// Follows changed settings.
    void apply_settings();

  private:
    /// One sending of a request to one server.
    struct Attempt {
        membership::KnownServer server;
        net::CancelSignal cancel;
        net::ExchangeProgress progress;
        GateAnswer answer;
        TimePoint started;
        bool ended = false;
        bool taken = false;  ///< Its outcome was fed to the plan.
    };
    /// Shared with the fibers of the attempts, which may outlast the request.
    struct AttemptBoard {
        net::HttpRequest request;
        net::FiberSignal changed;
        std::vector<std::shared_ptr<Attempt>> attempts;
    };
    /// One request that is being sent.
    struct Flight {
        explicit Flight(const retry::AttemptTerms& terms)
            : plan(terms), may_retry(terms.may_retry), slow_after(terms.hedge_after) {}

        retry::AttemptPlan plan;
        bool may_retry;       ///< It may be sent again although it may have run.
        Duration slow_after;  ///< Time after which a silent server is slow for this request.
        std::shared_ptr<AttemptBoard> board = std::make_shared<AttemptBoard>();
        std::vector<std::string> tried;  ///< Instances that were sent the request, or refused it.
        std::shared_ptr<Attempt> best;   ///< The good answer, or a server's failure for want of one.
        CallFailure failure;             ///< The last one.
        double inherited_retry = 0;      ///< How likely the run that makes this call is a retry, 0 to 1.
        bool streamed = false;           ///< The body is read off the client's connection as it is sent on.
    };

    retry::AttemptTerms terms_of(const IncomingCall& call, const net::HttpRequest& request,
                                 TimePoint now) const;
    /// Takes the step that the plan named; false if that was the last one.
    bool advance(const IncomingCall& call, Flight& flight, retry::AttemptStep step,
                 const membership::KnownServer* server, TimePoint now);
    /// `retry` in [0, 1]: how likely the attempt counts as a retry at its service.
    void launch(const IncomingCall& call, Flight& flight, const membership::KnownServer& server,
                double retry);
    hop::HopRequest hop_request_of(const IncomingCall& call, const Attempt& attempt, double retry) const;
    /// Runs in the attempt's own fiber.
    void send(const std::shared_ptr<AttemptBoard>& board, Attempt& attempt, const hop::HopRequest& hop_call,
              bool streamed, Duration slow_after);
    /// Feeds ended attempts to the plan.
    void take_outcomes(IncomingCall& call, Flight& flight);
    void take_outcome(IncomingCall& call, Flight& flight, const std::shared_ptr<Attempt>& attempt);
    /// Gives up the attempts that haven't ended. Waits for them if the body is streamed.
    void cancel_attempts(IncomingCall& call, Flight& flight);
    /// What the request gets after the plan's last step.
    AttemptsEnd conclude(const IncomingCall& call, Flight& flight, retry::AttemptStep step);

    SidecarContext& context_;
    membership::PeerDirectory& directory_;
    LocalGate& gate_;
    CrashExchange& crashes_;
    HopClient hops_;
    ServerChooser chooser_;
    retry::WindowBudget budget_;
    TimePoint started_;
};

}  // namespace anisehold::sidecar
