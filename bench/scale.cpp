/// @file
/// The scale run: hollow members beside three real daemons, at growing sizes of the fleet.

#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

#include "tests/support/fleet.hpp"

namespace anisehold::bench {
namespace {

using nlohmann::json;
using testing::Fleet;

constexpr std::size_t kRealDaemons = 3;
constexpr std::size_t kMembersPerProcess = 50;
constexpr std::uint16_t kControlPort = 11'000;
constexpr std::uint16_t kHollowPort = 10'000;
constexpr const char* kMeshKey = "lab-mesh-key-0123456789";
constexpr std::size_t kZones = 8;

/// Processor time and memory of a process, from the kernel.
struct Usage {
    double cpu_seconds = 0;
    double memory_mb = 0;
};

Usage usage_of(int process_id) {
    std::ifstream stat("/proc/" + std::to_string(process_id) + "/stat");
    std::string text;
    std::getline(stat, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::vector<std::string> values;
    std::string value;
    while (fields >> value) {
        values.push_back(value);
    }
    constexpr std::size_t user_ticks = 11;
    constexpr std::size_t system_ticks = 12;
    constexpr std::size_t resident_pages = 21;
    const double ticks = std::stod(values.at(user_ticks)) + std::stod(values.at(system_ticks));
    const double bytes = std::stod(values.at(resident_pages)) * static_cast<double>(sysconf(_SC_PAGESIZE));
    return {ticks / static_cast<double>(sysconf(_SC_CLK_TCK)), bytes / 1e6};
}

long long now_us() {
    return std::chrono::duration_cast<microseconds>(TimePoint::clock::now().time_since_epoch()).count();
}

/// A fleet of one size, and what is measured of it.
class ScaleRun {
  public:
    ScaleRun(std::size_t members, std::uint16_t base_port) : members_(members), fleet_(options(base_port)) {}

    bool run(Duration measured) {
        if (!fleet_.start() || !start_hollow() || !wait_until_all_know_all()) {
            std::cerr << "scale: the fleet of " << members_ << " did not come up\n";
            return false;
        }
        measure_steady_state(measured);
        std::cout << "scale: members=" << members_ << " bytes_per_s=" << bytes_per_s_
                  << " real_bytes_per_s=" << real_bytes_per_s_ << " cpu_percent=" << cpu_percent_
                  << " real_cpu_percent=" << real_cpu_percent_ << " memory_mb_per_hollow=" << memory_mb_
                  << " real_memory_mb=" << real_memory_mb_ << std::endl;
        measure_table_change("table");
        set_faults({{"loss", 0.01}});
        measure_table_change("table_at_1_percent_loss");
        Fleet::pause(seconds(10));
        std::cout << "scale: members=" << members_ << " false_deaths_at_1_percent_loss=" << dead_verdicts()
                  << std::endl;
        measure_zone_cut();
        set_faults({{"loss", 0.0}});
        measure_death();
        return true;
    }

  private:
    static testing::FleetOptions options(std::uint16_t base_port) {
        testing::FleetOptions options;
        options.base_port = base_port;
        options.membership_period_ms = 500;
        return options;
    }
    std::size_t hollow_count() const { return members_ - kRealDaemons; }
    std::size_t process_count() const {
        return (hollow_count() + kMembersPerProcess - 1) / kMembersPerProcess;
    }
    static std::string process_name(std::size_t index) { return "hollow-" + std::to_string(index); }
    static Endpoint control(std::size_t index) {
        return {"127.0.0.1", static_cast<std::uint16_t>(kControlPort + index)};
    }

    bool start_hollow() {
        for (std::size_t index = 0; index < process_count(); ++index) {
            const auto first = index * kMembersPerProcess;
            std::vector<std::string> arguments{
                "hollow",
                "--first",
                std::to_string(first),
                "--members",
                std::to_string(std::min(kMembersPerProcess, hollow_count() - first)),
                "--base-port",
                std::to_string(kHollowPort),
                "--mesh-key",
                kMeshKey,
                "--watched",
                fleet_.daemons()[2].name,
                "--control",
                control(index).text()};
            for (const auto& place : fleet_.daemons()) {
                arguments.insert(arguments.end(), {"--seed", place.peer.text()});
            }
            fleet_.start_program(process_name(index), "anisehold-lab", arguments);
        }
        return true;
    }

    std::vector<json> hollow_members() {
        std::vector<json> all;
        for (std::size_t index = 0; index < process_count(); ++index) {
            const auto report = fleet_.get(control(index), "/lab/hollow");
            if (report) {
                all.insert(all.end(), report->at("members").begin(), report->at("members").end());
            }
        }
        return all;
    }

    bool wait_until_all_know_all() {
        return fleet_.eventually(seconds(60), [&] {
            const auto all = hollow_members();
            return all.size() == hollow_count() &&
                   std::all_of(all.begin(), all.end(), [&](const json& member) {
                       return member["known"] == members_ && member["dead"] == 0 &&
                              member["table_revision"] > 0;
                   });
        });
    }

    double total(const char* name) {
        double sum = 0;
        for (const auto& member : hollow_members()) {
            sum += member[name].get<double>();
        }
        return sum;
    }
    double dead_verdicts() { return total("dead"); }

    void measure_steady_state(Duration measured) {
        const double bytes_before = total("bytes");
        const auto real_bytes = [&] {
            return fleet_.get(fleet_.daemons()[0].admin, "/status")->at("control_bytes").get<double>();
        };
        const double real_bytes_before = real_bytes();
        double cpu_before = 0;
        for (std::size_t index = 0; index < process_count(); ++index) {
            cpu_before += usage_of(fleet_.process_id(process_name(index))).cpu_seconds;
        }
        const auto real_before = usage_of(fleet_.process_id(fleet_.daemons()[0].name));
        Fleet::pause(measured);
        const double elapsed = std::chrono::duration<double>(measured).count();
        double cpu_after = 0;
        double memory = 0;
        for (std::size_t index = 0; index < process_count(); ++index) {
            const auto usage = usage_of(fleet_.process_id(process_name(index)));
            cpu_after += usage.cpu_seconds;
            memory += usage.memory_mb;
        }
        const auto real_after = usage_of(fleet_.process_id(fleet_.daemons()[0].name));
        const auto hollow = static_cast<double>(hollow_count());
        bytes_per_s_ = (total("bytes") - bytes_before) / hollow / elapsed;
        real_bytes_per_s_ = (real_bytes() - real_bytes_before) / elapsed;
        cpu_percent_ = 100 * (cpu_after - cpu_before) / hollow / elapsed;
        real_cpu_percent_ = 100 * (real_after.cpu_seconds - real_before.cpu_seconds) / elapsed;
        memory_mb_ = memory / hollow;
        real_memory_mb_ = real_after.memory_mb;
    }

    void measure_table_change(const std::string& what) {
        const auto weight = std::to_string(1 + now_us() % 900);
        const auto before =
            fleet_.get(fleet_.daemons()[0].admin, "/status")->at("table_revision").get<std::uint64_t>();
        const auto started_us = now_us();
        if (fleet_.run_table({"set", "book.weight=" + weight}).status != 0) {
            std::cout << "scale: members=" << members_ << " " << what << " was not accepted\n";
            return;
        }
        std::vector<double> times_ms;
        const bool in_force = fleet_.eventually(seconds(30), [&] {
            times_ms.clear();
            for (const auto& member : hollow_members()) {
                if (member["table_revision"].get<std::uint64_t>() > before) {
                    times_ms.push_back(
                        static_cast<double>(member["table_at_us"].get<long long>() - started_us) / 1'000);
                }
            }
            return times_ms.size() == hollow_count();
        });
        std::sort(times_ms.begin(), times_ms.end());
        std::cout << "scale: members=" << members_ << " " << what
                  << "_everywhere=" << (in_force ? "yes" : "no")
                  << " median_ms=" << (times_ms.empty() ? -1.0 : times_ms[times_ms.size() / 2])
                  << " worst_ms=" << (times_ms.empty() ? -1.0 : times_ms.back()) << std::endl;
    }

    void set_faults(json faults) {
        faults["fleet_size"] = hollow_count();
        faults["real_peers"] = json::array();
        for (const auto& place : fleet_.daemons()) {
            faults["real_peers"].push_back(place.peer.text());
        }
        for (std::size_t index = 0; index < process_count(); ++index) {
            fleet_.set_faults(control(index), faults);
        }
        // The real daemons stand outside the cut zone.
        json cut = json::array();
        const auto zone = faults.value("cut_zone", std::string());
        for (std::size_t number = 0; number < hollow_count() && !zone.empty(); ++number) {
            if ("zone-" + std::to_string(number % kZones) == zone) {
                cut.push_back(Endpoint{"127.0.0.1", static_cast<std::uint16_t>(kHollowPort + number)}.text());
            }
        }
        for (const auto& place : fleet_.daemons()) {
            fleet_.post(place.admin, "/lab/peers", {{"loss", faults.value("loss", 0.0)}, {"cut", cut}});
        }
    }

    void measure_zone_cut() {
        set_faults({{"cut_zone", "zone-1"}, {"loss", 0.0}});
        Fleet::pause(seconds(25));
        const double dead_during = dead_verdicts();
        set_faults({{"loss", 0.0}});
        const auto healed = TimePoint::clock::now();
        const bool all_back = fleet_.eventually(seconds(90), [&] { return dead_verdicts() == 0; });
        std::cout << "scale: members=" << members_ << " dead_verdicts_during_zone_cut=" << dead_during
                  << " healed=" << (all_back ? "yes" : "no")
                  << " heal_ms=" << to_milliseconds(TimePoint::clock::now() - healed) << std::endl;
    }

    void measure_death() {
        const auto killed_us = now_us();
        fleet_.kill(fleet_.daemons()[2].name);
        std::vector<double> times_ms;
        const bool noticed = fleet_.eventually(seconds(60), [&] {
            times_ms.clear();
            for (const auto& member : hollow_members()) {
                const auto death_at_us = member["death_at_us"].get<long long>();
                if (death_at_us > killed_us) {
                    times_ms.push_back(static_cast<double>(death_at_us - killed_us) / 1'000);
                }
            }
            return times_ms.size() == hollow_count();
        });
        std::sort(times_ms.begin(), times_ms.end());
        const double false_deaths = dead_verdicts() - static_cast<double>(times_ms.size());
        std::cout << "scale: members=" << members_ << " death_noticed_everywhere=" << (noticed ? "yes" : "no")
                  << " first_ms=" << (times_ms.empty() ? -1.0 : times_ms.front())
                  << " worst_ms=" << (times_ms.empty() ? -1.0 : times_ms.back())
                  << " false_deaths=" << false_deaths << std::endl;
    }

    std::size_t members_;
    Fleet fleet_;
    double bytes_per_s_ = 0;
    double real_bytes_per_s_ = 0;
    double cpu_percent_ = 0;
    double real_cpu_percent_ = 0;
    double memory_mb_ = 0;
    double real_memory_mb_ = 0;
};

}  // namespace

int run(int argc, char** argv) {
    CLI::App app{"Scale run"};
    std::vector<std::size_t> sizes{50, 100, 200, 400, 550};
    app.add_option("--members", sizes, "Sizes of the fleet");
    CLI11_PARSE(app, argc, argv);
    std::uint16_t base_port = 12'000;
    for (const auto size : sizes) {
        ScaleRun scale(size, base_port);
        if (!scale.run(seconds(20))) {
            return 1;
        }
        base_port = static_cast<std::uint16_t>(base_port + 100);
    }
    return 0;
}

}  // namespace anisehold::bench

int main(int argc, char** argv) {
    anisehold::testing::Fleet::loop();
    const int status = anisehold::bench::run(argc, argv);
    std::cout.flush();
    anisehold::net::exit_process(status);
}
