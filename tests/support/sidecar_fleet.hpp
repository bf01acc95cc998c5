/// @file
/// Sidecars as separate processes on loopback. The test's own process simulates the platform's store, the
/// servers and the clients.
#pragma once

#include <boost/process/child.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lab/platform_server.hpp"
#include "lab/platform_store.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "tests/support/eventually.hpp"

namespace anisehold::testing {

/// Addresses of a linked machine: connections to and from the machine go to `*_link`, and the test's
/// forwarder at that address passes them on.
struct MachineLinks {
    Endpoint store_link;   ///< Connections of the daemon to the store.
    Endpoint server_link;  ///< Connections of the daemon to its server.
    Endpoint server;
    Endpoint hops_link;  ///< Connections of peers to the daemon.
    Endpoint hops;
    Endpoint gossip_link;  ///< Datagrams of peers to the daemon.
    Endpoint gossip;
};

/// One machine: a sidecar and its local server.
struct SidecarMachine {
    std::string name;
    std::string zone;
    std::string service;
    bool linked = false;
    milliseconds heartbeat_interval{200};
    milliseconds key_revocation{3'000};
    unsigned tolerated_zone_losses = 0;
    unsigned memory_megabytes = 0;
    unsigned descriptors = 0;
    unsigned log_bytes = 0;
    MachineLinks links;
    Endpoint calls;
    Endpoint readiness;
    Endpoint metrics;
    std::string settings_file;
    std::string log_file;
    std::unique_ptr<lab::PlatformServer> server;
    boost::process::child child;
};

/// Configuration of one machine of the fleet.
struct SidecarMachinePlan {
    std::string zone;
    std::string service;
    std::vector<lab::NestedCall> calls;
    unsigned slots = 8;
    milliseconds work{5};
    bool linked = false;  ///< All links of the machine run through addresses that the test serves itself.
    milliseconds heartbeat_interval{200};
    bool keeps_instance = false;         ///< The server keeps its id when it restarts after a crash.
    unsigned tolerated_zone_losses = 0;  ///< Setting `tolerate.zones`.
    unsigned memory_megabytes = 0;       ///< Setting `limits.memory_mb`, unless 0.
    unsigned descriptors = 0;            ///< Limit of the sidecar's open descriptors, unless 0.
    unsigned log_bytes = 0;              ///< Limit of the size of the sidecar's log file, unless 0.
};

/// The response that a client received.
struct ClientAnswer {
    unsigned status = 0;  ///< 0: no response.
    std::string body;
    net::HeaderFields fields;
};

struct ClientRequest {
    std::string method = "GET";
    std::string host;
    std::string target;
    std::string id;
    milliseconds time_left{2'000};
    net::HeaderFields fields{};  ///< Additional header fields.
    std::string body{};
    /// If set, called before the last byte of the body is sent, which waits until the call returns.
    std::function<void()> before_last_byte{};
};

/// The processes of the fleet. The destructor ends all of them.
class SidecarFleet {
  public:
    SidecarFleet(std::uint16_t unshifted_port, const std::vector<SidecarMachinePlan>& plans);
    ~SidecarFleet();
    SidecarFleet(const SidecarFleet&) = delete;
    SidecarFleet& operator=(const SidecarFleet&) = delete;

    /// Starts the store, the servers and the sidecars, and writes the configuration into the store.
    bool launch(const std::string& configuration);
    /// Like `launch`, but also waits until all sidecars are ready and reach every service.
    bool start(const std::string& configuration);
    lab::PlatformStore& store() { return *store_; }
    const Endpoint& store_endpoint() const { return store_endpoint_; }
    /// Folder of the settings and logs.
    const std::string& folder() const { return folder_; }
    SidecarMachine& machine(std::size_t index) { return *machines_.at(index); }
    std::size_t size() const { return machines_.size(); }

    ClientAnswer send(std::size_t machine, const ClientRequest& request);
    /// Sends over the client's kept connections to the machine.
    ClientAnswer send_over(std::size_t machine, net::HttpClient& client, const ClientRequest& request);
    net::HttpClient client_of(std::size_t machine) const;
    bool is_ready(std::size_t machine);
    /// Writes a configuration into the store.
    void configure(const std::string& configuration);
    void kill(std::size_t machine);
    void terminate(std::size_t machine);
    void signal(std::size_t machine, int number);
    /// Signals that the settings file has changed.
    void reload(std::size_t machine);
    /// Pause the process with SIGSTOP, and resume it.
    void freeze(std::size_t machine);
    void thaw(std::size_t machine);
    bool is_running(std::size_t machine);
    void start_sidecar(std::size_t machine);
    /// Waits for the process to end; returns its exit status, or nothing on a time-out.
    std::optional<int> wait_for_exit(std::size_t machine, Duration timeout);
    std::string log_of(std::size_t machine) const;
    std::string metrics_of(std::size_t machine);
    /// Number of runs of a request at all servers together.
    unsigned runs_of(const std::string& id) const;
    /// Returns the response of the sidecar's metrics address to a request; nothing if the status is not 200.
    std::string fetch_from_admin_address(std::size_t machine, const std::string& method,
                                         const std::string& target);

    /// Polls until `condition` holds; false if the time-out expires first.
    template <typename Condition>
    bool eventually(Duration timeout, Condition condition) {
        return poll_until(timeout, condition);
    }
    static void pause(Duration duration);

  private:
    void write_settings(const SidecarMachine& machine, std::uint16_t first_port) const;

    Endpoint store_endpoint_;
    std::string folder_;
    std::uint64_t probes_ = 0;  ///< Makes the id of each probe request unique.
    std::unique_ptr<lab::PlatformStore> store_;
    std::vector<std::unique_ptr<SidecarMachine>> machines_;
};

/// A configuration with one route for each service: host SERVICE.example, path /SERVICE/.
std::string configuration_text(unsigned version, const std::vector<std::string>& safe_services,
                               const std::vector<std::string>& unsafe_services,
                               const std::string& timeout = "2000ms",
                               const std::string& target_latency = "500ms");

}  // namespace anisehold::testing
