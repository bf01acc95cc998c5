/// @file
/// Takes requests of this machine's clients and server, and sees each to its final answer.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "membership/peer_directory.hpp"
#include "net/fiber_signal.hpp"
#include "retry/attempt_plan.hpp"
#include "retry/window_budget.hpp"
#include "routing/weighted_split.hpp"
#include "selection/server_selection.hpp"
#include "sidecar/configuration_holder.hpp"
#include "sidecar/crash_exchange.hpp"
#include "sidecar/hop_client.hpp"
#include "sidecar/local_gate.hpp"
#include "sidecar/proof_keeper.hpp"
#include "sidecar/quota_exchange.hpp"
#include "sidecar/sidecar_context.hpp"

namespace anisehold::sidecar {

/// Route, choose, send, repeat where that is allowed, answer.
class CallIngress {
  public:
    CallIngress(SidecarContext& context, ConfigurationHolder& configuration,
                membership::PeerDirectory& directory, LocalGate& gate, ProofKeeper& proofs,
                QuotaExchange& quotas, CrashExchange& crashes);

    /// Answers one request; blocks its fiber until then.
    net::HttpResponse handle(net::HttpRequest& request, net::CancelSignal& cancel);
    /// Answers a request that could not be read.
    net::HttpResponse reject(ErrorKind kind);
    /// Follows changed settings.
    void apply_settings();

  private:
    /// One request on its way.
    struct Call {
        std::string request_id;
        RequestIdentity identity;
        std::string route;
        std::string row;  ///< The route, and the request's rank: what the limit of root requests tells apart.
        std::string service;
        routing::HostRoute terms;
        tenancy::TenantName tenant;  ///< Empty for a request that belongs to none.
        bool hides_key = false;      ///< The server is told a tenant in place of the key.
        bool holds_token = false;    ///< It counts against its tenant's quota.
        double inherited_retry = 0;  ///< How likely the run that makes this call is a repeat.
        std::uint64_t configuration_version = 0;
        TimePoint received;
        TimePoint deadline;
        std::vector<std::string> tried;  ///< Instances that were sent the request, or refused it.
        std::string servers;             ///< The same for the log, with outcomes.
    };
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
    /// The attempts of one request; shared with their fibers, which may outlast it.
    struct AttemptBoard {
        net::HttpRequest request;
        net::FiberSignal changed;
        std::vector<std::shared_ptr<Attempt>> attempts;
    };
    /// How a request ended, when no server answered it.
    struct Failure {
        ErrorKind error = ErrorKind::kNoBackend;
        milliseconds retry_after{0};  ///< 0: nothing better is known than the default.
    };

    /// What happens to one request between its arrival and its answer.
    struct Flight {
        explicit Flight(const retry::AttemptTerms& terms) : plan(terms), slow_after(terms.hedge_after) {}

        retry::AttemptPlan plan;
        Duration slow_after;  ///< Time after which a silent server is slow for this request.
        std::shared_ptr<AttemptBoard> board = std::make_shared<AttemptBoard>();
        std::shared_ptr<Attempt> best;  ///< The good answer, or a server's failure for want of one.
        Failure failure;                ///< The last one.
        bool streamed = false;          ///< The body is read off the client's connection as it is sent on.
    };

    std::optional<Failure> prepare(const net::HttpRequest& request, Call& call);
    /// Finds out whose request it is, and whether it may be served.
    std::optional<Failure> admit_caller(const routing::Configuration& configuration,
                                        const net::HttpRequest& request, Call& call);
    /// Counts the request against its tenant's quota; blocks its fiber for a moment.
    std::optional<Failure> take_token(const routing::Configuration& configuration, Call& call);
    /// Whether the request would meet a service without room.
    bool is_refused_early(const Call& call);
    /// Servers beside peers, and the one beside this daemon. Holds until the next call.
    membership::ServiceView candidates(const std::string& service, TimePoint now);
    /// The server that the request is sent to next, or null. `running`: attempts that haven't ended.
    const membership::KnownServer* choose_server(const Call& call, TimePoint now, unsigned running);
    net::HttpResponse run(Call& call, net::HttpRequest& request, net::CancelSignal& cancel);
    /// Takes the step that the plan named; false if that was the last one.
    bool advance(Call& call, Flight& flight, retry::AttemptStep step, const membership::KnownServer* server,
                 TimePoint now);
    /// `repeat` in [0, 1]: how likely the attempt counts as a repeat at its service.
    void launch(Call& call, Flight& flight, const membership::KnownServer& server, double retry);
    /// Feeds ended attempts to the plan.
    void take_outcomes(Call& call, Flight& flight);
    void cancel_attempts(Call& call, Flight& flight);
    net::HttpResponse conclude(Call& call, Flight& flight, retry::AttemptStep step);
    retry::AttemptTerms terms_of(const Call& call, const net::HttpRequest& request, TimePoint now);
    /// Tells the limit of root requests and the gate of this machine's server how the request ended.
    void note_overload(const Call& call, const Failure* failure, const GateAnswer* answered);
    net::HttpResponse answer(Call& call, net::HttpResponse response);
    net::HttpResponse fail(Call& call, const Failure& failure, bool may_have_run);
    net::HttpResponse error_response(const Failure& failure, const std::string& request_id) const;
    void log(const Call& call, const std::string& outcome, bool served) const;

    SidecarContext& context_;
    ConfigurationHolder& configuration_;
    membership::PeerDirectory& directory_;
    LocalGate& gate_;
    ProofKeeper& proofs_;
    QuotaExchange& quotas_;
    CrashExchange& crashes_;
    HopClient hops_;
    routing::WeightedSplit split_;
    selection::SelectionState selection_;
    retry::WindowBudget budget_;
    TimePoint started_;
    std::vector<membership::KnownServer> own_servers_;  ///< What the last candidates point to.
};

}  // namespace anisehold::sidecar
