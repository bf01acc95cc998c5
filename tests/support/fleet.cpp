#include "tests/support/fleet.hpp"

#include <sys/wait.h>

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <boost/process/args.hpp>
#include <boost/process/io.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include "net/http_client.hpp"
#include "tests/support/run_folder.hpp"

namespace anisehold::testing {
namespace {

using nlohmann::json;
namespace process = boost::process;

constexpr const char* kMeshKey = "lab-mesh-key-0123456789";
constexpr seconds kReadyTimeout{20};
constexpr seconds kHttpTimeout{3};
constexpr seconds kStartTimeout{5};

std::string read_text(const std::string& name) {
    std::ifstream file(name, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    return std::move(text).str();
}

}  // namespace

Fleet::Fleet(FleetOptions options)
    : options_(std::move(options)),
      deployment_file_(std::string(ANISEHOLD_SOURCE_DIR) + "/lab/deployments/" + options_.deployment +
                       ".toml"),
      next_port_(shifted_port(options_.base_port)) {
    deployment_ = lab::load_deployment(deployment_file_).value_or(lab::Deployment{});
    run_folder_ = make_run_folder(std::to_string(options_.base_port));
    plan();
}

Fleet::~Fleet() {
    for (auto& [name, each] : processes_) {
        if (each.child.running()) {
            ::kill(each.child.id(), SIGCONT);
            ::kill(each.child.id(), SIGKILL);
        }
        std::error_code ignored;
        each.child.wait(ignored);
    }
}

net::EventLoop& Fleet::loop() {
    static net::EventLoop loop;
    return loop;
}

void Fleet::pause(Duration duration) {
    boost::this_fiber::sleep_for(duration);
}

void Fleet::plan() {
    const auto next = [this] { return Endpoint{"127.0.0.1", next_port_++}; };
    store_ = next();
    machines_ = next();
    const auto& zones = deployment_.zones;
    for (const auto& zone : zones) {
        daemons_.push_back({"daemon-" + zone + "-1", zone, next(), next(), next()});
    }
    for (const auto& service : deployment_.services) {
        for (unsigned server = 0; server < service.servers; ++server) {
            BackendProcess place;
            place.name = service.name + "-" + std::to_string(server + 1);
            place.service = service.name;
            place.zone = zones[server % zones.size()];
            place.listen = next();
            place.advertised = options_.proxy_backends ? next() : place.listen;
            place.proxy_control = options_.proxy_backends ? next() : place.listen;
            backends_.push_back(place);
        }
    }
}

std::vector<BackendProcess> Fleet::backends_of(const std::string& service) const {
    std::vector<BackendProcess> found;
    std::copy_if(backends_.begin(), backends_.end(), std::back_inserter(found),
                 [&](const BackendProcess& place) { return place.service == service; });
    return found;
}

void Fleet::start_process(const std::string& name, const std::string& program,
                          const std::vector<std::string>& arguments) {
    keep_earlier_output(out_file(name));
    keep_earlier_output(log_file(name));
    const std::string path = std::string(ANISEHOLD_BINARY_DIR) + "/" + program;
    if (options_.unread_logs && arguments.front() == "serve") {
        const auto log = std::make_shared<process::pipe>();
        process::child child(path, process::args(arguments),
                             process::std_in<process::null, process::std_out> out_file(name),
                             process::std_err > *log);
        processes_[name] = Process{name, program, arguments, std::move(child), log};
        return;
    }
    process::child child(path, process::args(arguments),
                         process::std_in<process::null, process::std_out> out_file(name),
                         process::std_err > log_file(name));
    processes_[name] = Process{name, program, arguments, std::move(child)};
}

void Fleet::start_program(const std::string& name, const std::string& program,
                          const std::vector<std::string>& arguments) {
    start_process(name, program, arguments);
}

Process& Fleet::process(const std::string& name) {
    return processes_.at(name);
}

void Fleet::kill(const std::string& name) {
    ::kill(process(name).child.id(), SIGKILL);
    std::error_code ignored;
    process(name).child.wait(ignored);
}

void Fleet::freeze(const std::string& name) {
    ::kill(process(name).child.id(), SIGSTOP);
}

void Fleet::thaw(const std::string& name) {
    ::kill(process(name).child.id(), SIGCONT);
}

void Fleet::terminate(const std::string& name) {
    signal(name, SIGTERM);
}

void Fleet::signal(const std::string& name, int number) {
    ::kill(process(name).child.id(), number);
}

std::optional<int> Fleet::wait_for_exit(const std::string& name, Duration timeout) {
    if (!eventually(timeout, [&] { return !process(name).child.running(); })) {
        return std::nullopt;
    }
    return process(name).child.exit_code();
}

void Fleet::restart(const std::string& name) {
    const auto program = process(name).program;
    const auto arguments = process(name).arguments;
    start_process(name, program, arguments);
}

std::string Fleet::get_text(const Endpoint& server, const std::string& target) {
    net::HttpClient client(loop().io(), server);
    auto request = net::make_request("GET", target);
    std::error_code error;
    return net::fetch_text(client, request, TimePoint::clock::now() + kHttpTimeout, error).value_or("");
}

std::optional<json> Fleet::get(const Endpoint& server, const std::string& target) {
    auto object = json::parse(get_text(server, target), nullptr, false);
    return object.is_discarded() ? std::nullopt : std::optional(std::move(object));
}

std::optional<json> Fleet::post(const Endpoint& server, const std::string& target, const json& body) {
    net::HttpClient client(loop().io(), server);
    auto request = net::make_request("POST", target, body.dump());
    std::error_code error;
    const auto text = net::fetch_text(client, request, TimePoint::clock::now() + kHttpTimeout, error);
    auto object = json::parse(text.value_or(""), nullptr, false);
    return object.is_discarded() ? std::nullopt : std::optional(std::move(object));
}

bool Fleet::set_faults(const Endpoint& stand_in, const json& faults) {
    return post(stand_in, "/lab/faults", faults).has_value();
}

void Fleet::publish_machine_list(const std::vector<std::string>& leaving) {
    json groups = json::array();
    for (const auto& place : backends_) {
        const bool leaves = std::find(leaving.begin(), leaving.end(), place.name) != leaving.end();
        groups.push_back(
            {{"targets", json::array({place.advertised.text()})},
             {"labels",
              {{"service", place.service}, {"zone", place.zone}, {"state", leaves ? "leaving" : "live"}}}});
    }
    post(machines_, "/lab/list", groups);
}

bool Fleet::start() {
    if (deployment_.kinds.empty()) {
        return false;
    }
    start_stand_ins();
    start_backends();
    if (!eventually(kStartTimeout, [this] { return get(machines_, "/targets").has_value(); })) {
        return false;
    }
    publish_machine_list();
    return accept_table() && (start_daemons(), wait_until_ready());
}

void Fleet::start_stand_ins() {
    start_process("store", "anisehold-lab", {"store", "--listen", store_.text()});
    start_process("machines", "anisehold-lab", {"machines", "--listen", machines_.text()});
}

std::vector<std::string> Fleet::target_flags(const std::vector<std::size_t>& daemon_order) const {
    std::vector<std::string> flags{"--deployment", deployment_file_};
    for (const auto index : daemon_order) {
        flags.insert(flags.end(), {"--daemon", daemons_[index].call.text()});
    }
    return flags;
}

void Fleet::start_backends() {
    for (const auto& place : backends_) {
        // Nested calls go to the daemons of the local zone first.
        std::vector<std::size_t> order;
        for (const bool own_zone : {true, false}) {
            for (std::size_t index = 0; index < daemons_.size(); ++index) {
                if ((daemons_[index].zone == place.zone) == own_zone) {
                    order.push_back(index);
                }
            }
        }
        std::vector<std::string> arguments{"backend",
                                           "--listen",
                                           place.listen.text(),
                                           "--service",
                                           place.service,
                                           "--layer-retries",
                                           std::to_string(options_.layer_retries)};
        const auto flags = target_flags(order);
        arguments.insert(arguments.end(), flags.begin(), flags.end());
        start_process(place.name, "anisehold-lab", arguments);
        if (options_.proxy_backends) {
            start_process(place.name + "-proxy", "anisehold-lab",
                          {"proxy", "--listen", place.advertised.text(), "--target", place.listen.text(),
                           "--control", place.proxy_control.text()});
        }
    }
}

void Fleet::start_daemons() {
    std::string seeds;
    for (const auto& place : daemons_) {
        seeds += (seeds.empty() ? "" : ",") + place.peer.text();
    }
    std::string without;
    for (const auto& name : options_.without) {
        without += (without.empty() ? "" : ",") + name;
    }
    for (const auto& place : daemons_) {
        std::vector<std::string> arguments{
            "serve",
            "--daemon-id=" + place.name,
            "--daemon-zone=" + place.zone,
            "--daemon-listen=" + place.call.text(),
            "--daemon-peer=" + place.peer.text(),
            "--daemon-admin=" + place.admin.text(),
            std::string("--daemon-mesh-key=") + kMeshKey,
            "--daemon-operator-token=lab-operator",
            "--platform-stores=" + store_.text(),
            "--platform-machine-list=" + machines_.text(),
            "--platform-poll-ms=500",
            "--membership-seeds=" + seeds,
            "--membership-period-ms=200",
            "--claims-window-ms=60000",
            "--backends-initial-limit=8",
            "--lab-enabled=true",
            // Logs the response to each call too, so that a failed run can be traced.
            "--log-level=debug",
        };
        if (!without.empty()) {
            arguments.push_back("--lab-without=" + without);
        }
        arguments.insert(arguments.end(), options_.daemon_flags.begin(), options_.daemon_flags.end());
        start_process(place.name, "anisehold", arguments);
    }
}

bool Fleet::accept_table() {
    const auto file_name = run_folder_ + "/table.csv";
    std::ofstream(file_name) << deployment_.table_csv;
    return eventually(kStartTimeout, [&] { return run_table({"accept", file_name}).status == 0; });
}

bool Fleet::wait_until_ready() {
    return eventually(kReadyTimeout, [this] {
        return std::all_of(daemons_.begin(), daemons_.end(), [this](const DaemonProcess& place) {
            const auto status = get(place.admin, "/status");
            return status && status->at("table_revision") > 0 && status->at("claims_serving") == true &&
                   status->at("servers").size() == backends_.size() &&
                   status->at("members").size() == daemons_.size();
        });
    });
}

Fleet::CommandResult Fleet::run_program(const std::string& program,
                                        const std::vector<std::string>& arguments) {
    const std::string name = "command";
    start_process(name, program, arguments);
    std::error_code ignored;
    process(name).child.wait(ignored);
    return {process(name).child.exit_code(), read_text(out_file(name))};
}

Fleet::CommandResult Fleet::run_table(const std::vector<std::string>& arguments) {
    std::vector<std::string> all{"table", "--store", store_.text()};
    if (!daemons_.empty()) {
        all.insert(all.end(), {"--daemon", daemons_.front().admin.text()});
    }
    all.insert(all.end(), arguments.begin(), arguments.end());
    return run_program("anisehold", all);
}

void Fleet::start_load(const std::string& name, const std::vector<std::string>& arguments,
                       const std::vector<std::size_t>& daemon_order) {
    auto order = daemon_order;
    for (std::size_t index = 0; daemon_order.empty() && index < daemons_.size(); ++index) {
        order.push_back(index);
    }
    std::vector<std::string> all{"load"};
    if (std::find(arguments.begin(), arguments.end(), "--id-prefix") == arguments.end()) {
        all.insert(all.end(), {"--id-prefix", name + "-"});
    }
    const auto flags = target_flags(order);
    all.insert(all.end(), flags.begin(), flags.end());
    all.insert(all.end(), arguments.begin(), arguments.end());
    start_process(name, "anisehold-lab", all);
}

json Fleet::finish_load(const std::string& name) {
    // Other fibers of the test continue while the load ends.
    eventually(seconds(600), [&] { return !process(name).child.running(); });
    return json::parse(read_text(out_file(name)), nullptr, false);
}

Fleet::Executions Fleet::executions(const std::string& kind) {
    Executions total;
    for (const auto& place : backends_) {
        const auto counts = get(place.listen, "/lab/counts");
        if (!counts || !counts->at("kinds").contains(kind)) {
            continue;
        }
        std::ofstream(run_folder_ + "/executions-" + kind + ".jsonl", std::ios::app)
            << json{{"server", place.name}, {"requests", counts->at("kinds").at(kind)}}.dump() << "\n";
        for (const auto& [request_id, count] : counts->at("kinds").at(kind).items()) {
            total.started[request_id] += count.at("started").get<unsigned>();
            total.committed[request_id] += count.at("committed").get<unsigned>();
        }
    }
    return total;
}

}  // namespace anisehold::testing
