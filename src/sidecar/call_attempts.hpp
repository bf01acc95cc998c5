/// @file
/// Runs the attempts of a request: chooses servers, sends, retries, and processes the outcome of each
/// attempt.
#pragma once

#include <memory>
#include <optional>
#include <set>
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
#include "sidecar/open_request.hpp"
#include "sidecar/server_chooser.hpp"
#include "sidecar/sidecar_context.hpp"

namespace anisehold::sidecar {

/// Result of all attempts of a request.
struct AttemptsResult {
    std::optional<net::HttpResponse> response;  ///< Response for the caller, if a server answered.
    CallFailure failure;                        ///< Set if there is no response.
    bool may_have_run = false;
};

/// Executes the plan (`retry::AttemptPlan`) of each request. Owns the connections to peers, the retry budget
/// and the failure history of servers. Reports the outcome of each request to the overload tracker and to the
/// crash ledger.
class CallAttempts {
  public:
    CallAttempts(SidecarContext& context, membership::PeerDirectory& directory, LocalGate& gate,
                 CrashExchange& crashes);

    /// Sends the request until its plan ends. Blocks the fiber. Each iteration:
    ///
    /// 1. processes attempts that have ended;
    /// 2. chooses a server (`ServerChooser`);
    /// 3. gets the next step from the plan: send, retry, wait, or finish (`kDeadlineExceeded` or
    ///    `kQueueTimeout` when the time is up, `kOutcomeUnknown` when the request may have run, otherwise the
    ///    error of the last attempt);
    /// 4. before sending, checks whether the request has been condemned (`kCrashesServers`), would not be
    ///    completed before a planned stop ends (`kStopping`; a retry is then not sent), or its caller has
    ///    disconnected (`kCancelled`);
    /// 5. before a retry, asks the budget (`retry::WindowBudget`); without budget the request waits for its
    ///    pending attempts. With `kGateRetryBudget` the server's gate decides instead (retry/gate_budget),
    ///    and on hedges as well; after its refusal the request is not retried again.
    AttemptsResult run(IncomingCall& call, net::HttpRequest& request, net::CancelSignal& cancel);
    /// Applies changed settings.
    void apply_settings();
    /// The requests whose plan has not ended.
    OpenRequests open_requests(TimePoint now) const;
    /// Wakes all requests whose plan has not ended; they end if `StopState::ends_requests` is set.
    void end_requests();

  private:
    /// One attempt to run a request at one server.
    struct Attempt {
        membership::KnownServer server;
        net::CancelSignal cancel;
        net::ExchangeProgress progress;
        GateAnswer answer;
        TimePoint started;
        bool is_retry = false;   ///< The server's gate may refuse the attempt as a retry.
        bool asks_gate = false;  ///< Only the gate decides on the retry.
        bool ended = false;
        bool processed = false;  ///< Whether the outcome has been passed to the plan.
    };
    /// State shared with the fibers of the attempts, which may outlive the request.
    struct AttemptSet {
        net::HttpRequest request;
        net::FiberSignal changed;
        std::vector<std::shared_ptr<Attempt>> attempts;
    };
    /// State of one request while it has attempts.
    struct RequestState {
        RequestState(const IncomingCall& incoming, const retry::AttemptTerms& terms)
            : call(incoming),
              plan(terms),
              may_retry(terms.may_retry),
              repeats_declined(terms.repeats_declined),
              slow_after(terms.hedge_after) {}

        const IncomingCall& call;
        retry::AttemptPlan plan;
        bool may_retry;         ///< Whether the request may be sent again although it may have run.
        bool repeats_declined;  ///< Gates decide on retries, and declined attempts are repeated.
        /// Time without a response after which a server counts as slow for this request.
        Duration slow_after;
        std::shared_ptr<AttemptSet> attempt_set = std::make_shared<AttemptSet>();
        std::vector<std::string> tried;  ///< Instances that were sent the request or refused it.
        std::shared_ptr<Attempt> best;   ///< The successful attempt, or a failed one if none succeeded.
        CallFailure failure;             ///< Failure of the latest attempt without a response.
        /// Probability (0 to 1) that the run making this call is itself a retry.
        double inherited_retry = 0;
        bool streamed = false;  ///< The body is forwarded while it is read from the client's connection.
    };

    /// Whether something of the request may have been sent to a server, or to its gate.
    static bool is_sent(const RequestState& state);
    AttemptsResult run_plan(IncomingCall& call, RequestState& state, net::CancelSignal& cancel);
    /// Ends a request because the process is about to end. If nothing of it has been sent, its failure says
    /// that it has not run.
    AttemptsResult end_at_stop(IncomingCall& call, RequestState& state, TimePoint now);
    retry::AttemptTerms terms_of(const IncomingCall& call, const net::HttpRequest& request,
                                 TimePoint now) const;
    /// Chooses the server of the next attempt: one that has not been tried, or one that has declined the
    /// request if no other server may be tried.
    const membership::KnownServer* choose_server(const IncomingCall& call, const RequestState& state,
                                                 TimePoint now);
    /// Whether the request would be completed before a planned stop of this daemon ends, if there is one.
    bool can_complete(const IncomingCall& call, TimePoint now) const;
    /// The refusal of a request that would not be completed.
    CallFailure stopping_failure(TimePoint now) const;
    /// Whether this daemon's own budget allows the retry, or leaves the decision to the gate.
    bool allows_retry(const IncomingCall& call, const RequestState& state, TimePoint now);
    /// Processes what the gate decided on an attempt that is a retry.
    void record_gate_decision(const IncomingCall& call, RequestState& state, const Attempt& attempt);
    /// Reports the declined share of the server to the overload tracker.
    void record_declined(const Attempt& attempt, TimePoint now);
    /// Executes the step of the plan. Returns false if it was the last one.
    bool advance(const IncomingCall& call, RequestState& state, retry::AttemptStep step,
                 const membership::KnownServer* server, TimePoint now);
    /// Starts an attempt. `retry` in [0, 1]: probability that it counts as a retry at its service;
    /// `is_retry`: this daemon sends the request again, so that the attempt can be refused as a retry.
    void launch(const IncomingCall& call, RequestState& state, const membership::KnownServer& server,
                double retry, bool is_retry);
    hop::HopRequest hop_request_of(const IncomingCall& call, const Attempt& attempt, double retry) const;
    /// Sends the attempt; runs in the attempt's own fiber.
    void send(const std::shared_ptr<AttemptSet>& attempt_set, Attempt& attempt,
              const hop::HopRequest& hop_call, bool streamed, Duration slow_after);
    /// Sends the request of the attempt to the server's gate. Blocks the fiber.
    GateAnswer transmit(AttemptSet& attempt_set, Attempt& attempt, const hop::HopRequest& hop_call,
                        bool streamed);
    /// Reserves a slot at the server's gate if the request needs one (src/reservation). Returns the refusal,
    /// after which the request has not run there, or nothing if the request may be sent with `hop_call`.
    std::optional<GateAnswer> reserve_if_needed(Attempt& attempt, hop::HopRequest& hop_call);
    /// Passes the outcomes of ended attempts to the plan.
    void process_outcomes(IncomingCall& call, RequestState& state);
    void process_outcome(IncomingCall& call, RequestState& state, const std::shared_ptr<Attempt>& attempt);
    /// Cancels the pending attempts, and waits for them if the body is streamed.
    void cancel_attempts(IncomingCall& call, RequestState& state);
    /// Builds the result of the request after the plan's last step.
    AttemptsResult conclude(const IncomingCall& call, RequestState& state, retry::AttemptStep step);

    SidecarContext& context_;
    membership::PeerDirectory& directory_;
    LocalGate& gate_;
    CrashExchange& crashes_;
    HopClient hops_;
    ServerChooser chooser_;
    retry::WindowBudget budget_;
    TimePoint started_;
    std::set<const RequestState*> open_;  ///< Requests whose plan has not ended.
};

}  // namespace anisehold::sidecar
