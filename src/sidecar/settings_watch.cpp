#include "sidecar/settings_watch.hpp"

#include <boost/fiber/operations.hpp>
#include <chrono>
#include <fstream>
#include <sstream>

#include "observability/events.hpp"

namespace anisehold::sidecar {
namespace {

using observability::Event;
using observability::log_event;

/// Interval of checks of the settings file.
constexpr milliseconds kSettingsPeriod{1'000};

std::string read_text(const std::string& path) {
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return std::move(text).str();
}

}  // namespace

SettingsWatch::SettingsWatch(SidecarContext& context, CallIngress& ingress, std::string settings_file)
    : context_(context),
      ingress_(ingress),
      settings_file_(std::move(settings_file)),
      settings_text_(read_text(settings_file_)) {}

void SettingsWatch::run() {
    while (!context_.stop.has_begun()) {
        boost::this_fiber::sleep_for(kSettingsPeriod);
        check_suspension();
        reload_settings();
    }
}

void SettingsWatch::check_suspension() {
    const auto steady = std::chrono::steady_clock::now().time_since_epoch();
    const auto now = TimePoint::clock::now();
    if (const auto gap = observability::detect_suspension(suspension_, now, steady)) {
        log_event(Event::kMachineSuspended,
                  {{"suspended_ms", std::to_string(to_milliseconds(*gap))},
                   {"steady_ms", std::to_string(to_milliseconds(steady))},
                   {"boot_ms", std::to_string(to_milliseconds(now.time_since_epoch()))}});
    }
}

void SettingsWatch::reload_settings() {
    const auto text = read_text(settings_file_);
    if (text == settings_text_) {
        return;
    }
    settings_text_ = text;
    const auto loaded = config::load_sidecar_settings(settings_file_, text);
    if (!loaded.errors.empty()) {
        log_event(Event::kSettingsRejected, {{"reason", loaded.errors.front().text()}});
        return;
    }
    auto& settings = context_.settings;
    settings.service = loaded.settings.service;
    settings.heartbeat_interval = loaded.settings.heartbeat_interval;
    settings.stop_grace = loaded.settings.stop_grace;
    settings.retry_ratio = loaded.settings.retry_ratio;
    settings.retry_extra = loaded.settings.retry_extra;
    settings.retry_window = loaded.settings.retry_window;
    settings.key_revocation = loaded.settings.key_revocation;
    ingress_.apply_settings();
    log_event(Event::kSettingsReloaded, {{"service", settings.service}});
}

}  // namespace anisehold::sidecar
