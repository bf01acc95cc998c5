/// @file
/// Starts a whole deployment as separate processes on loopback, for integration tests and the demo.
#pragma once

#include <boost/process/child.hpp>
#include <map>
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
    std::vector<std::string> without;       ///< Mechanisms switched off in all daemons.
    bool proxy_backends = false;            ///< A fault-injecting proxy before each back end.
    std::vector<std::string> daemon_flags;  ///< More flags for every daemon.
};

/// One process.
struct Process {
    std::string name;
    std::string program;
    std::vector<std::string> arguments;
    boost::process::child child;
};

/// A back-end server of the fleet.
struct BackendProcess {
    std::string name;
    std::string service;
    std::string zone;
    Endpoint listen;
    Endpoint seen;  ///< What the machine list names: the proxy, where there is one.
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

/// The processes of one deployment. All are ended by the destructor.
class Fleet {
  public:
    explicit Fleet(FleetOptions options);
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    /// Starts everything, accepts the deployment's table and waits until each daemon is ready. False if
    /// that takes too long.
    bool start();

    const lab::Deployment& deployment() const { return deployment_; }
    const std::vector<DaemonProcess>& daemons() const { return daemons_; }
    const std::vector<BackendProcess>& backends() const { return backends_; }
    std::vector<BackendProcess> backends_of(const std::string& service) const;
    Endpoint store() const { return store_; }
    Endpoint machines() const { return machines_; }

    /// Signals to a process by name.
    void kill(const std::string& name);
    void freeze(const std::string& name);
    void thaw(const std::string& name);
    void terminate(const std::string& name);
    /// Waits for a process to end; its exit status, or nothing if it hasn't ended in time.
    std::optional<int> wait_for_exit(const std::string& name, Duration timeout);
    /// Starts a process again that has ended.
    void restart(const std::string& name);

    /// GET or POST (with a body) of JSON; nothing if no JSON answer came.
    std::optional<nlohmann::json> get(const Endpoint& server, const std::string& target);
    /// The text of a page; empty if none came.
    std::string get_text(const Endpoint& server, const std::string& target);
    std::optional<nlohmann::json> post(const Endpoint& server, const std::string& target,
                                       const nlohmann::json& body);
    /// Sets faults of a stand-in.
    bool set_faults(const Endpoint& stand_in, const nlohmann::json& faults);
    /// Replaces the machine list; the named servers are marked as leaving.
    void publish_machine_list(const std::vector<std::string>& leaving = {});

    /// Runs the operators' program; its exit status and output.
    struct CommandResult {
        int status = -1;
        std::string output;
    };
    CommandResult run_table(const std::vector<std::string>& arguments);
    CommandResult run_program(const std::string& program, const std::vector<std::string>& arguments);
    /// Starts an operators' command without waiting for it, under a name.
    void start_program(const std::string& name, const std::string& program,
                       const std::vector<std::string>& arguments);

    /// Starts a load generator; `daemon_order` names the daemons it calls, nearest first (all by default).
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

    /// Polls until `condition` holds; false if it doesn't in time.
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
