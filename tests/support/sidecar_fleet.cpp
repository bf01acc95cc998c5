#include "tests/support/sidecar_fleet.hpp"

#include <signal.h>
#include <sys/resource.h>

#include <boost/fiber/operations.hpp>
#include <boost/process/args.hpp>
#include <boost/process/extend.hpp>
#include <boost/process/handles.hpp>
#include <boost/process/io.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "logging/utc_time.hpp"
#include "tests/support/fleet.hpp"
#include "tests/support/run_folder.hpp"

namespace anisehold::testing {
namespace {

using nlohmann::json;

constexpr std::uint16_t kPortsPerMachine = 12;
constexpr milliseconds kStartTimeout{20'000};
constexpr milliseconds kFetchTimeout{2'000};
constexpr unsigned kOk = 200;

Endpoint local(std::uint16_t port) {
    return {"127.0.0.1", port};
}

/// Limits a resource of the calling process, unless `limit` is 0.
void limit_resource(__rlimit_resource resource, unsigned limit) {
    const rlimit limits{limit, limit};
    if (limit > 0) {
        (void)setrlimit(resource, &limits);
    }
}

/// Sends the last byte of a body after a call has returned.
class LastByteReader final : public net::BodyReader {
  public:
    LastByteReader(char last, std::function<void()> before) : last_(last), before_(std::move(before)) {}

    std::size_t read(char* data, std::size_t /*size*/, std::error_code& /*error*/) override {
        if (!before_) {
            return 0;
        }
        std::exchange(before_, nullptr)();
        *data = last_;
        return 1;
    }

  private:
    char last_;
    std::function<void()> before_;
};

/// Holds back the last byte of the body until `before_last_byte` has returned.
void delay_last_byte(net::Body& body, const std::function<void()>& before_last_byte) {
    body.length = body.prefix.size();
    body.rest = std::make_unique<LastByteReader>(body.prefix.back(), before_last_byte);
    body.prefix.pop_back();
}

}  // namespace

std::string configuration_text(unsigned version, const std::vector<std::string>& safe_services,
                               const std::vector<std::string>& unsafe_services, const std::string& timeout,
                               const std::string& target_latency) {
    json routes = json::object();
    json services = json::object();
    const auto add = [&](const std::string& service, const char* kind) {
        routes["route-" + service] = {{"host", service + ".example"},
                                      {"pathPrefix", "/" + service + "/"},
                                      {"kind", kind},
                                      {"timeout", timeout},
                                      {"targetLatency", target_latency},
                                      {"priority", 1},
                                      {"service", service},
                                      {"retryAttempts", 2}};
        services[service] = {{"healthCheckPath", "/health"}, {"maxConnections", 100}};
    };
    for (const auto& service : safe_services) {
        add(service, "safe");
    }
    for (const auto& service : unsafe_services) {
        add(service, "unsafe");
    }
    const json limits{{"maxHeaderBytes", 16384},
                      {"maxBodyBytes", 1048576},
                      {"headerTimeout", "1000ms"},
                      {"idleTimeout", "5000ms"}};
    return json{{"version", "r" + std::to_string(version)},
                {"routes", routes},
                {"services", services},
                {"limits", limits}}
        .dump();
}

SidecarFleet::SidecarFleet(std::uint16_t unshifted_port, const std::vector<SidecarMachinePlan>& plans)
    : store_endpoint_(local(shifted_port(unshifted_port))) {
    const auto base_port = store_endpoint_.port;
    folder_ = make_run_folder("sidecars-" + std::to_string(base_port));
    auto& io = Fleet::loop().io();
    store_ = std::make_unique<lab::PlatformStore>(io);
    std::uint16_t first_port = base_port;
    for (const auto& plan : plans) {
        first_port = static_cast<std::uint16_t>(first_port + kPortsPerMachine);
        auto machine = std::make_unique<SidecarMachine>();
        machine->name = "machine-" + std::to_string(machines_.size());
        machine->zone = plan.zone;
        machine->service = plan.service;
        machine->calls = local(first_port);
        machine->readiness = local(static_cast<std::uint16_t>(first_port + 3));
        machine->metrics = local(static_cast<std::uint16_t>(first_port + 5));
        machine->settings_file = folder_ + "/" + machine->name + ".toml";
        machine->log_file = folder_ + "/" + machine->name + ".log";
        machine->linked = plan.linked;
        machine->heartbeat_interval = plan.heartbeat_interval;
        machine->tolerated_zone_losses = plan.tolerated_zone_losses;
        machine->memory_megabytes = plan.memory_megabytes;
        machine->descriptors = plan.descriptors;
        machine->log_bytes = plan.log_bytes;
        const auto at = [&](int offset) { return local(static_cast<std::uint16_t>(first_port + offset)); };
        machine->links = {at(7), at(8), at(6), at(9), at(1), at(10), at(4)};
        lab::PlatformServerOptions options;
        options.instance = "i-" + std::to_string(machines_.size());
        options.service = plan.service;
        options.zone = plan.zone;
        options.listen = local(static_cast<std::uint16_t>(first_port + 6));
        options.registered = plan.linked ? machine->links.server_link : options.listen;
        options.control = local(static_cast<std::uint16_t>(first_port + 2));
        options.outbound = machine->calls;
        options.slots = plan.slots;
        options.work = plan.work;
        options.calls = plan.calls;
        options.keeps_instance = plan.keeps_instance;
        options.heartbeat_interval = plan.heartbeat_interval;
        machine->server = std::make_unique<lab::PlatformServer>(io, options);
        write_settings(*machine, first_port);
        machines_.push_back(std::move(machine));
    }
}

SidecarFleet::~SidecarFleet() {
    for (const auto& machine : machines_) {
        if (machine->child.running()) {
            ::kill(machine->child.id(), SIGKILL);
            machine->child.wait();
        }
    }
    // Fibers of the test servers run until the process ends, so the objects that they refer to must stay
    // valid.
    for (auto& machine : machines_) {
        (void)machine->server.release();
    }
    (void)store_.release();
}

void SidecarFleet::write_settings(const SidecarMachine& machine, std::uint16_t first_port) const {
    const auto at = [&](int offset) {
        return "\"" + local(static_cast<std::uint16_t>(first_port + offset)).text() + "\"\n";
    };
    std::ofstream file(machine.settings_file);
    file << "[sidecar]\nname = \"" << machine.name << "\"\nzone = \"" << machine.zone << "\"\nservice = \""
         << machine.service << "\"\nstop_grace = \"3s\"\n"
         << "[listen]\ncalls = " << at(0) << "hops = " << at(1) << "control = " << at(2)
         << "readiness = " << at(3) << "gossip = " << at(4) << "metrics = " << at(5)
         << "[store]\naddress = \"" << (machine.linked ? machine.links.store_link : store_endpoint_).text()
         << "\"\n"
         << "[servers]\nheartbeat_interval = \"" << machine.heartbeat_interval.count() << "ms\"\naddress = \""
         << (machine.linked ? machine.links.server_link : machine.links.server).text() << "\"\n"
         << "[tenants]\nrevocation = \"" << machine.key_revocation.count() << "ms\"\n"
         << "[repeats]\nratio = \"0.2\"\nextra = \"60\"\nwindow = \"2s\"\n";
    if (machine.tolerated_zone_losses > 0) {
        file << "[tolerate]\nzones = \"" << machine.tolerated_zone_losses << "\"\n";
    }
    if (machine.memory_megabytes > 0) {
        file << "[limits]\nmemory_mb = \"" << machine.memory_megabytes << "\"\n";
    }
    if (const auto* without = std::getenv("ANISEHOLD_WITHOUT"); without != nullptr && *without != '\0') {
        file << "[lab]\nwithout = \"" << without << "\"\n";
    }
    if (machine.linked) {
        file << "[advertise]\nhops = " << at(9) << "gossip = " << at(10);
    }
}

void SidecarFleet::pause(Duration duration) {
    boost::this_fiber::sleep_for(duration);
}

void SidecarFleet::start_sidecar(std::size_t index) {
    auto& machine = *machines_.at(index);
    namespace process = boost::process;
    keep_earlier_output(machine.log_file);
    keep_earlier_output(machine.log_file + ".err");
    machine.child = process::child(
        std::string(ANISEHOLD_BINARY_DIR) + "/anisehold",
        process::args(std::vector<std::string>{"sidecar", "--config", machine.settings_file}),
        process::std_out > machine.log_file, process::std_err > machine.log_file + ".err",
        process::extend::on_exec_setup =
            [descriptors = machine.descriptors, log_bytes = machine.log_bytes](auto& /*executor*/) {
                limit_resource(RLIMIT_NOFILE, descriptors);
                limit_resource(RLIMIT_FSIZE, log_bytes);
            },
        // A socket of a test server that a child process inherits would stay open after the
        // test server ends.
        process::limit_handles);
}

void SidecarFleet::configure(const std::string& configuration) {
    store_->put("op/config", configuration);
}

bool SidecarFleet::launch(const std::string& configuration) {
    if (store_->start(store_endpoint_)) {
        return false;
    }
    for (std::size_t index = 0; index < machines_.size(); ++index) {
        if (machines_[index]->server->start()) {
            return false;
        }
        start_sidecar(index);
    }
    configure(configuration);
    return true;
}

bool SidecarFleet::start(const std::string& configuration) {
    return launch(configuration) && eventually(kStartTimeout, [this] {
               for (std::size_t index = 0; index < machines_.size(); ++index) {
                   if (!is_ready(index)) {
                       return false;
                   }
               }
               // Every sidecar reaches every service once the servers have registered and the peers know of
               // them.
               for (std::size_t index = 0; index < machines_.size(); ++index) {
                   for (const auto& other : machines_) {
                       const auto& service = other->service;
                       const auto answer = send(index, {"GET", service + ".example", "/" + service + "/probe",
                                                        "probe-" + std::to_string(probes_++)});
                       if (answer.status != kOk) {
                           return false;
                       }
                   }
               }
               return true;
           });
}

net::HttpClient SidecarFleet::client_of(std::size_t machine) const {
    return net::HttpClient(Fleet::loop().io(), machines_.at(machine)->calls);
}

ClientAnswer SidecarFleet::send(std::size_t machine, const ClientRequest& request) {
    auto client = client_of(machine);
    return send_over(machine, client, request);
}

ClientAnswer SidecarFleet::send_over(std::size_t machine, net::HttpClient& client,
                                     const ClientRequest& client_request) {
    auto request = net::make_request(client_request.method, client_request.target, client_request.body);
    request.fields.set("Host", client_request.host);
    request.fields.set("Request-Id", client_request.id);
    request.fields.set("Deadline-Milliseconds", std::to_string(client_request.time_left.count()));
    for (const auto& field : client_request.fields) {
        request.fields.add(field.name, field.value);
    }
    if (client_request.before_last_byte) {
        delay_last_byte(request.body, client_request.before_last_byte);
    }
    net::ExchangeProgress progress;
    std::error_code error;
    const auto sent = TimePoint::clock::now();
    const auto deadline = sent + client_request.time_left + kFetchTimeout;
    auto response = client.exchange(request, {deadline}, progress, error);
    ClientAnswer answer;
    if (response) {
        answer.status = response->status;
        answer.fields = response->fields;
        answer.body = net::read_whole(response->body, net::kMaxFetchedTextBytes, error).value_or("");
    }
    std::ofstream(folder_ + "/clients.log", std::ios::app)
        << logging::utcText(std::chrono::system_clock::now()) << " " << machines_.at(machine)->name << " "
        << client_request.id << " " << client_request.target << " status " << answer.status << " after "
        << to_milliseconds(TimePoint::clock::now() - sent) << " ms\n";
    return answer;
}

bool SidecarFleet::is_ready(std::size_t machine) {
    net::HttpClient client(Fleet::loop().io(), machines_.at(machine)->readiness);
    auto request = net::make_request("GET", "/-/readiness");
    net::ExchangeProgress progress;
    std::error_code error;
    const auto response =
        client.exchange(request, {TimePoint::clock::now() + kFetchTimeout}, progress, error);
    return response && response->status == kOk;
}

void SidecarFleet::kill(std::size_t machine) {
    ::kill(machines_.at(machine)->child.id(), SIGKILL);
    machines_.at(machine)->child.wait();
}

void SidecarFleet::terminate(std::size_t machine) {
    signal(machine, SIGTERM);
}

void SidecarFleet::signal(std::size_t machine, int number) {
    ::kill(machines_.at(machine)->child.id(), number);
}

void SidecarFleet::reload(std::size_t machine) {
    signal(machine, SIGHUP);
}

void SidecarFleet::freeze(std::size_t machine) {
    ::kill(machines_.at(machine)->child.id(), SIGSTOP);
}

void SidecarFleet::thaw(std::size_t machine) {
    ::kill(machines_.at(machine)->child.id(), SIGCONT);
}

bool SidecarFleet::is_running(std::size_t machine) {
    return machines_.at(machine)->child.running();
}

std::optional<int> SidecarFleet::wait_for_exit(std::size_t index, Duration timeout) {
    auto& child = machines_.at(index)->child;
    if (!eventually(timeout, [&] { return !child.running(); })) {
        return std::nullopt;
    }
    return child.exit_code();
}

std::string SidecarFleet::log_of(std::size_t machine) const {
    std::ifstream file(machines_.at(machine)->log_file);
    std::ostringstream text;
    text << file.rdbuf();
    return std::move(text).str();
}

unsigned SidecarFleet::runs_of(const std::string& id) const {
    unsigned runs = 0;
    for (const auto& machine : machines_) {
        const auto& counted = machine->server->runs();
        const auto found = counted.find(id);
        runs += found == counted.end() ? 0 : found->second;
    }
    return runs;
}

std::string SidecarFleet::metrics_of(std::size_t machine) {
    return fetch_from_admin_address(machine, "GET", "/metrics");
}

std::string SidecarFleet::fetch_from_admin_address(std::size_t machine, const std::string& method,
                                                   const std::string& target) {
    net::HttpClient client(Fleet::loop().io(), machines_.at(machine)->metrics);
    auto request = net::make_request(method, target);
    std::error_code error;
    return net::fetch_text(client, request, TimePoint::clock::now() + kFetchTimeout, error).value_or("");
}

}  // namespace anisehold::testing
