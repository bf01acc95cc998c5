/// @file
/// Hollow daemons: the control plane of many members in one process, over real sockets on loopback.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "daemon/claim_service.hpp"
#include "daemon/daemon_context.hpp"
#include "daemon/document_service.hpp"
#include "daemon/gate_service.hpp"
#include "daemon/membership_service.hpp"
#include "daemon/peer_client.hpp"
#include "daemon/peer_service.hpp"
#include "net/http_server.hpp"
#include "routing/backend_registry.hpp"

namespace anisehold::lab {

/// Which members a hollow process plays.
struct HollowOptions {
    std::size_t first = 0;  ///< Number of its first member in the fleet.
    std::size_t members = 50;
    std::uint16_t base_port = 10'000;  ///< Member n has the peer address 127.0.0.1:(base_port + n).
    std::size_t zones = 8;             ///< Member n stands in zone n modulo this.
    std::vector<Endpoint> seeds;
    std::string mesh_key;
    std::string watched;  ///< The member whose death is timed.
    long long period_ms = 500;
};

/// One hollow member: all of a daemon but callers, back ends and the store.
class HollowDaemon {
  public:
    HollowDaemon(boost::asio::io_context& io, const HollowOptions& options, std::size_t number);
    std::error_code start();

    daemon::DaemonContext& context() { return context_; }
    const daemon::MembershipService& membership() const { return membership_; }
    std::uint64_t table_revision() const;

  private:
    daemon::DaemonContext context_;
    routing::BackendRegistry registry_;
    daemon::PeerClient peers_;
    daemon::MembershipService membership_;
    daemon::DocumentService documents_;
    daemon::ClaimService claims_;
    daemon::GateService gates_;
    daemon::PeerService peer_service_;
};

/// A process full of hollow members, with a control endpoint that reports on them.
class HollowFleet {
  public:
    HollowFleet(boost::asio::io_context& io, HollowOptions options);
    /// Starts the members one after the other, and the control endpoint.
    std::error_code start(const Endpoint& control);

  private:
    /// When something was first seen at one member, in microseconds of the machine's monotonic clock.
    struct Observed {
        std::uint64_t table_revision = 0;
        long long table_at_us = 0;
        long long death_at_us = 0;
    };

    net::HttpResponse handle(net::HttpRequest& request);
    net::HttpResponse report() const;
    void run_observer();
    void set_faults(const nlohmann::json& faults);

    boost::asio::io_context& io_;
    HollowOptions options_;
    std::vector<std::unique_ptr<HollowDaemon>> members_;
    std::vector<Observed> observed_;
    net::HttpServer control_;
};

}  // namespace anisehold::lab
