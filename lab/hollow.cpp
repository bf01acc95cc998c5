#include "lab/hollow.hpp"

#include <boost/fiber/operations.hpp>
#include <random>

#include "lab/control.hpp"
#include "net/event_loop.hpp"

namespace anisehold::lab {
namespace {

using membership::MemberState;
using nlohmann::json;

constexpr milliseconds kObserverPeriod{20};
/// Members of one process start this far apart, as machines would.
constexpr milliseconds kStartGap{20};

config::Settings hollow_settings(const HollowOptions& options, std::size_t number) {
    config::Settings settings;
    settings.daemon_id = "hollow-" + std::to_string(number);
    settings.daemon_zone = "zone-" + std::to_string(number % options.zones);
    settings.daemon_peer = {"127.0.0.1", static_cast<std::uint16_t>(options.base_port + number)};
    settings.daemon_mesh_key = options.mesh_key;
    settings.membership_seeds = options.seeds;
    settings.membership_period_ms = options.period_ms;
    settings.lab_enabled = true;
    return settings;
}

std::uint64_t random_boot_id() {
    return (static_cast<std::uint64_t>(std::random_device{}()) << 32U) | 1U;
}

membership::MemberInfo hollow_info(const config::Settings& settings) {
    return {settings.daemon_id,   settings.daemon_zone, random_boot_id(),
            settings.daemon_peer, settings.daemon_peer, settings.daemon_peer};
}

long long now_us() {
    return std::chrono::duration_cast<microseconds>(TimePoint::clock::now().time_since_epoch()).count();
}

}  // namespace

HollowDaemon::HollowDaemon(boost::asio::io_context& io, const HollowOptions& options, std::size_t number)
    : context_{io,
               hollow_settings(options, number),
               config::MechanismSet(),
               hollow_info(hollow_settings(options, number)),
               {},
               {},
               std::mt19937_64(std::random_device{}())},
      peers_(context_),
      membership_(context_, peers_),
      documents_(context_, peers_, membership_),
      claims_(context_, peers_, membership_, documents_),
      gates_(context_, membership_, registry_),
      peer_service_(context_, membership_, documents_, claims_, gates_) {}

std::error_code HollowDaemon::start() {
    if (const auto error = peer_service_.start()) {
        return error;
    }
    if (const auto error = membership_.start()) {
        return error;
    }
    documents_.start();
    claims_.start();
    gates_.start();
    return {};
}

std::uint64_t HollowDaemon::table_revision() const {
    const auto table = documents_.table();
    return table ? table->revision() : 0;
}

HollowFleet::HollowFleet(boost::asio::io_context& io, HollowOptions options)
    : io_(io),
      options_(std::move(options)),
      control_(io, {},
               {[this](net::HttpRequest& request, net::CancelSignal& /*cancel*/) { return handle(request); },
                [](ErrorKind) {
                    return json_answer(400, {{"error", "bad request"}});
                }}) {}

std::error_code HollowFleet::start(const Endpoint& control) {
    for (std::size_t index = 0; index < options_.members; ++index) {
        members_.push_back(std::make_unique<HollowDaemon>(io_, options_, options_.first + index));
        observed_.emplace_back();
        if (const auto error = members_.back()->start()) {
            return error;
        }
        boost::this_fiber::sleep_for(kStartGap);
    }
    net::EventLoop::spawn([this] { run_observer(); });
    return control_.start(control);
}

void HollowFleet::run_observer() {
    while (true) {
        boost::this_fiber::sleep_for(kObserverPeriod);
        for (std::size_t index = 0; index < members_.size(); ++index) {
            Observed& observed = observed_[index];
            const auto revision = members_[index]->table_revision();
            if (revision != observed.table_revision) {
                observed.table_revision = revision;
                observed.table_at_us = now_us();
            }
            const auto* watched = members_[index]->membership().find(options_.watched);
            const bool dead = watched != nullptr && watched->state == MemberState::kDead;
            if (!dead) {
                observed.death_at_us = 0;
            } else if (observed.death_at_us == 0) {
                observed.death_at_us = now_us();
            }
        }
    }
}

net::HttpResponse HollowFleet::handle(net::HttpRequest& request) {
    if (request.target == kControlPath) {
        return apply_control(request, [this](const json& faults) { set_faults(faults); });
    }
    return report();
}

/// {"loss": SHARE, "cut_zone": "zone-N"}: members of that zone and all others send nothing to each other.
void HollowFleet::set_faults(const json& faults) {
    const auto loss = faults.value("loss", 0.0);
    const auto cut_zone = faults.value("cut_zone", std::string());
    const auto fleet_size = faults.value("fleet_size", std::size_t{0});
    const auto real_peers = faults.value("real_peers", std::vector<std::string>{});
    for (const auto& member : members_) {
        auto& context = member->context();
        context.peer_faults = {};
        context.peer_faults.loss = loss;
        if (cut_zone.empty()) {
            continue;
        }
        const bool inside = context.self.zone == cut_zone;
        for (std::size_t number = 0; number < fleet_size; ++number) {
            const bool other_inside = "zone-" + std::to_string(number % options_.zones) == cut_zone;
            if (inside != other_inside) {
                context.peer_faults.cut.insert(
                    {"127.0.0.1", static_cast<std::uint16_t>(options_.base_port + number)});
            }
        }
        for (const auto& text : real_peers) {
            if (const auto endpoint = inside ? parse_endpoint(text) : std::nullopt) {
                context.peer_faults.cut.insert(*endpoint);
            }
        }
    }
}

net::HttpResponse HollowFleet::report() const {
    json members = json::array();
    for (std::size_t index = 0; index < members_.size(); ++index) {
        const auto& member = *members_[index];
        std::size_t known = 0;
        std::size_t dead = 0;
        for (const auto& record : member.membership().records()) {
            ++known;
            dead += record.state == MemberState::kDead ? 1 : 0;
        }
        members.push_back({{"known", known},
                           {"dead", dead},
                           {"bytes", members_[index]->context().control_bytes},
                           {"table_revision", observed_[index].table_revision},
                           {"table_at_us", observed_[index].table_at_us},
                           {"death_at_us", observed_[index].death_at_us}});
    }
    return json_answer(200, {{"members", std::move(members)}});
}

}  // namespace anisehold::lab
