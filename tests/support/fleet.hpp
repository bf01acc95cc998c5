/// @file
/// Starts a whole deployment as separate processes on loopback, for integration tests and the demo.
#pragma once

#include <boost/process/child.hpp>
#include <boost/process/pipe.hpp>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "lab/deployment.hpp"
#include "net/event_loop.hpp"
#include "protocol/endpoint.hpp"
#include "protocol/time_types.hpp"
#include "tests/support/eventually.hpp"

namespace anisehold::testing {

struct FleetOptions {
    std::string deployment = "cooperative";
    std::uint16_t base_port = 21'000;
    unsigned layer_retries = 0;             ///< Retries of each back end for its nested calls.
    std::vector<std::string> without;       ///< Mechanisms disabled in all daemons.
    bool proxy_backends = false;            ///< Puts a fault-injecting proxy in front of each back end.
    std::vector<std::string> daemon_flags;  ///< Additional flags for every daemon.
    bool unread_logs = false;               ///< The daemons log to pipes that nobody reads.
};

struct Process {
    std::string name;
    std::string program;
    std::vector<std::string> arguments;
    boost::process::child child;
    std::shared_ptr<boost::process::pipe> unread_log{};  ///< Null if the log is written to a file.
};

/// A back-end server of the fleet.
struct BackendProcess {
    std::string name;
    std::string service;
    std::string zone;
    Endpoint listen;
    Endpoint advertised;  ///< The address in the machine list: the proxy's, if there is one.
    Endpoint proxy_control;
};

/// A daemon of the fleet.
struct DaemonProcess {
    std::string name;
    std::string zone;
    Endpoint call;
    Endpoint peer;
    Endpoint admin;
};

/// The processes of one deployment. The destructor ends all of them.
class Fleet {
  public:
    explicit Fleet(FleetOptions options);
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    /// Starts all processes, accepts the deployment's table and waits until each daemon is ready. False on a
    /// time-out.
    bool start();

    const lab::Deployment& deployment() const { return deployment_; }
    const std::vector<DaemonProcess>& daemons() const { return daemons_; }
    const std::vector<BackendProcess>& backends() const { return backends_; }
    std::vector<BackendProcess> backends_of(const std::string& service) const;
    Endpoint store() const { return store_; }
    Endpoint machines() const { return machines_; }

    /// Send a signal to a process by name.
    void kill(const std::string& name);
    void freeze(const std::string& name);
    void thaw(const std::string& name);
    void terminate(const std::string& name);
    void signal(const std::string& name, int number);
    /// Waits for a process to end; returns its exit status, or nothing on a time-out.
    std::optional<int> wait_for_exit(const std::string& name, Duration timeout);
    /// Restarts a process that has ended.
    void restart(const std::string& name);

    /// GET or POST (with a body) of JSON; nothing if no JSON response was received.
    std::optional<nlohmann::json> get(const Endpoint& server, const std::string& target);
    /// Returns the text of a page; empty if no response was received.
    std::string get_text(const Endpoint& server, const std::string& target);
    std::optional<nlohmann::json> post(const Endpoint& server, const std::string& target,
                                       const nlohmann::json& body);
    /// Sets the faults of a test server.
    bool set_faults(const Endpoint& stand_in, const nlohmann::json& faults);
    /// Replaces the machine list; the named servers are marked as leaving.
    void publish_machine_list(const std::vector<std::string>& leaving = {});

    /// Runs the operators' program; returns its exit status and output.
    struct CommandResult {
        int status = -1;
        std::string output;
    };
    CommandResult run_table(const std::vector<std::string>& arguments);
    CommandResult run_program(const std::string& program, const std::vector<std::string>& arguments);
    /// Starts an operators' command under a name, without waiting for it.
    void start_program(const std::string& name, const std::string& program,
                       const std::vector<std::string>& arguments);

    /// Starts a load generator; `daemon_order` selects the daemons that it calls, nearest first (all by
    /// default).
    void start_load(const std::string& name, const std::vector<std::string>& arguments,
                    const std::vector<std::size_t>& daemon_order = {});
    /// Waits for a load generator and returns its summary.
    nlohmann::json finish_load(const std::string& name);

    /// Executions by request id of one kind, over all servers: "started" and "committed".
    struct Executions {
        std::map<std::string, unsigned> started;
        std::map<std::string, unsigned> committed;
    };
    Executions executions(const std::string& kind);

    /// Polls until `condition` holds; false if the time-out expires first.
    template <typename Condition>
    bool eventually(Duration timeout, Condition condition) {
        return poll_until(timeout, condition);
    }
    static void pause(Duration duration);
    static net::EventLoop& loop();
    /// Folder of the processes' logs.
    const std::string& run_folder() const { return run_folder_; }

  private:
    void start_process(const std::string& name, const std::string& program,
                       const std::vector<std::string>& arguments);
    void plan();
    void start_stand_ins();
    void start_backends();
    void start_daemons();
    bool accept_table();
    bool wait_until_ready();
    Process& process(const std::string& name);
    std::vector<std::string> target_flags(const std::vector<std::size_t>& daemon_order) const;
    std::string log_file(const std::string& name) const { return run_folder_ + "/" + name + ".log"; }
    std::string out_file(const std::string& name) const { return run_folder_ + "/" + name + ".out"; }

    FleetOptions options_;
    lab::Deployment deployment_;
    std::string deployment_file_;
    std::string run_folder_;
    std::uint16_t next_port_;
    Endpoint store_;
    Endpoint machines_;
    std::vector<DaemonProcess> daemons_;
    std::vector<BackendProcess> backends_;
    std::map<std::string, Process> processes_;
};

}  // namespace anisehold::testing
