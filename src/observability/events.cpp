#include "observability/events.hpp"

#include <log4cplus/asyncappender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>
#include <memory>
#include <nlohmann/json.hpp>

#include "logging/json_line.hpp"
#include "logging/line_budget.hpp"
#include "observability/bounded_output.hpp"

namespace anisehold::observability {
namespace {

using nlohmann::ordered_json;

constexpr std::size_t kRecentEvents = 500;
constexpr unsigned kLogQueue = 4096;

constexpr std::array kCatalogue{
    EventEntry{Event::kStarted, Level::kInfo, "started", "The daemon serves callers."},
    EventEntry{Event::kStopping, Level::kInfo, "stopping",
               "A planned stop began: no new connection is accepted."},
    EventEntry{Event::kStopped, Level::kInfo, "stopped",
               "The planned stop ended; `in_flight` calls were left at its end."},
    EventEntry{Event::kStartFailed, Level::kError, "start-failed",
               "An address could not be bound; the process ends."},
    EventEntry{Event::kSettingsReloaded, Level::kInfo, "settings-reloaded",
               "The settings file changed and is in force."},
    EventEntry{Event::kSettingsRejected, Level::kError, "settings-rejected",
               "The settings file changed and has a mistake; the settings before stay in force."},
    EventEntry{Event::kMachineSuspended, Level::kWarn, "machine-suspended",
               "The machine stood still for `suspended_ms`, which its steady clock doesn't count; all that "
               "this daemon knew has aged by that."},
    EventEntry{Event::kTableInForce, Level::kInfo, "table-in-force",
               "A table with a higher revision is in force."},
    EventEntry{Event::kTableRejected, Level::kError, "table-rejected",
               "A table in the store has a bad cell; the one before stays in force."},
    EventEntry{Event::kStoreUnreachable, Level::kWarn, "store-unreachable",
               "The store doesn't answer; table and holder view stay as they are."},
    EventEntry{Event::kStoreReachable, Level::kInfo, "store-reachable", "The store answers again."},
    EventEntry{Event::kMachineListUnreachable, Level::kWarn, "machine-list-unreachable",
               "The machine list doesn't answer or is malformed; the last one stays in use."},
    EventEntry{Event::kMachineListReachable, Level::kInfo, "machine-list-reachable",
               "The machine list answers again."},
    EventEntry{Event::kConfigurationInForce, Level::kInfo, "configuration-in-force",
               "A configuration with a higher version is in force."},
    EventEntry{Event::kConfigurationRejected, Level::kError, "configuration-rejected",
               "A configuration is malformed; the one before stays in force."},
    EventEntry{Event::kRegistrationAbandoned, Level::kInfo, "registration-abandoned",
               "Nobody has written a registration for long: its machine is gone, and it was removed."},
    EventEntry{Event::kWatchRoleChanged, Level::kInfo, "watch-role-changed",
               "Whether this daemon watches the store for configurations changed."},
    EventEntry{Event::kRegistrationsRestored, Level::kWarn, "registrations-restored",
               "The store had lost registrations of daemons that are heard; a watcher wrote them again."},
    EventEntry{Event::kKeysUnproven, Level::kWarn, "keys-unproven",
               "Nothing has shown for long that the configuration is the newest: requests with keys are "
               "refused."},
    EventEntry{Event::kKeysProven, Level::kInfo, "keys-proven",
               "The configuration was shown to be the newest: requests with keys are served again."},
    EventEntry{Event::kQuotaOwnerSilent, Level::kWarn, "quota-owner-silent",
               "The daemon that counts a tenant's requests didn't answer; another one is asked."},
    EventEntry{Event::kStoreItemsRefused, Level::kWarn, "store-items-refused",
               "Items of the store couldn't be read and were left out; the others hold."},
    EventEntry{Event::kHolderViewInForce, Level::kInfo, "holder-view-in-force",
               "This daemon uses a new claim holder view."},
    EventEntry{Event::kHolderViewChanged, Level::kInfo, "holder-view-changed",
               "This daemon changed the holder view in the store."},
    EventEntry{Event::kClaimsServing, Level::kInfo, "claims-serving",
               "This daemon grants claims in its epoch."},
    EventEntry{
        Event::kClaimsAbstaining, Level::kWarn, "claims-abstaining",
        "This daemon holds claims but doesn't grant until it has synced or the memory window has passed."},
    EventEntry{Event::kMemberChanged, Level::kInfo, "member-changed",
               "A member joined, or its state changed."},
    EventEntry{Event::kPeerFrameRefused, Level::kWarn, "peer-frame-refused",
               "A peer message was malformed, too large or not authenticated."},
    EventEntry{Event::kPeerChanged, Level::kInfo, "peer-changed",
               "A peer appeared, restarted, or its server or leaving changed."},
    EventEntry{Event::kServerLeaving, Level::kInfo, "server-leaving",
               "A back end said that it is leaving; it gets no new work."},
    EventEntry{Event::kServerEjected, Level::kWarn, "server-ejected",
               "A back end failed repeatedly and gets no work for a while."},
    EventEntry{Event::kServerListed, Level::kInfo, "server-listed",
               "The machine list names a new server, a changed state, or no longer names a server."},
    EventEntry{Event::kGateOpened, Level::kInfo, "gate-opened", "This daemon became the gate of a server."},
    EventEntry{Event::kServerRegistered, Level::kInfo, "server-registered",
               "The server beside this daemon registered, or its slots, service or address changed."},
    EventEntry{Event::kServerSilent, Level::kWarn, "server-silent",
               "The server beside this daemon sent no heartbeat for long; it gets no new work."},
    EventEntry{Event::kHeartbeatRefused, Level::kWarn, "heartbeat-refused", "A heartbeat was malformed."},
    EventEntry{Event::kServerFound, Level::kInfo, "server-found",
               "The server beside this daemon said that it is well, before its first heartbeat came."},
    EventEntry{Event::kServerCrashed, Level::kWarn, "server-crashed",
               "The server beside this daemon ended while requests ran there; `running` of them, by digest."},
    EventEntry{Event::kContextRefused, Level::kWarn, "context-refused",
               "A call brought a context that is forged, malformed or of an ended call."},
    EventEntry{Event::kIngressCall, Level::kInfo, "ingress-call",
               "A request that came in at this daemon got its final answer."},
    EventEntry{Event::kGateCall, Level::kInfo, "gate-call",
               "A request for the server beside this daemon ended at its gate."},
    EventEntry{Event::kRootLimitMoved, Level::kInfo, "root-limit-moved",
               "The share of requests that are let in for a service changed, by the fleet's counts of "
               "refused calls."},
    EventEntry{
        Event::kConnectionForgotten, Level::kInfo, "connection-forgotten",
        "A kept connection broke as soon as it was used again; others may rest less long from now on."},
    EventEntry{Event::kRoutineLinesSkipped, Level::kInfo, "routine-lines-skipped",
               "So many lines of ordinary successes were not written, for their rate; failures are."},
    EventEntry{
        Event::kGateLimitMoved, Level::kInfo, "gate-limit-moved",
        "The number of calls that a gate lets run at its server changed, by how long calls take there."},
    EventEntry{Event::kRequestCondemned, Level::kWarn, "request-condemned",
               "A request has crashed several servers in a row; it is sent to none from now on."},
    EventEntry{Event::kRequestCleared, Level::kInfo, "request-cleared",
               "A request that ran at a server when it crashed was answered by another, or lifted by an "
               "operator."},
    EventEntry{Event::kVerdictStored, Level::kInfo, "verdict-stored",
               "What is known of a request that crashes servers was written to the store, or removed."},
    EventEntry{Event::kMechanismOff, Level::kWarn, "mechanism-off", "The lab switched a mechanism off."},
};

std::string_view level_name(Level level) {
    switch (level) {
        case Level::kDebug:
            return "debug";
        case Level::kInfo:
            return "info";
        case Level::kWarn:
            return "warn";
        case Level::kError:
            return "error";
    }
    return "info";
}

std::string utc_now() {
    const auto now = std::chrono::system_clock::now();
    const std::time_t whole_seconds = std::chrono::system_clock::to_time_t(now);
    const auto millis =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    std::tm parts{};
    gmtime_r(&whole_seconds, &parts);
    std::array<char, 32> text{};
    const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::string fraction = std::to_string(1000 + millis);
    fraction.front() = '.';
    return std::string(text.data(), length) + fraction + "Z";
}

/// The one logger of the process and its ring of recent events.
class EventLog {
  public:
    void start(const std::string& level, const std::string& layout, const std::string& member,
               LogOutput output) {
        initializer_ = std::make_unique<log4cplus::Initializer>();
        text_layout_ = layout == "text";
        member_ = member;
        auto logger = log4cplus::Logger::getRoot();
        logger.addAppender(appender_for(output));
        logger.setLogLevel(
            log4cplus::getLogLevelManager().fromString(level == "warn" ? "WARN" : upper(level)));
        started_ = true;
    }

    void set_scheduler(std::function<void()> schedule) {
        if (bounded_ != nullptr) {
            bounded_->set_scheduler(std::move(schedule));
        }
    }

    void flush() {
        if (bounded_ != nullptr) {
            bounded_->flush();
        }
    }

    void stop() {
        if (started_) {
            flush();
            bounded_ = nullptr;
            log4cplus::Logger::shutdown();
            initializer_.reset();
            started_ = false;
        }
    }

    void write(unsigned number, std::string_view name, Level level,
               std::initializer_list<EventField> fields) {
        const auto log_level = to_log_level(level);
        if (!started_ || !log4cplus::Logger::getRoot().isEnabledFor(log_level)) {
            return;
        }
        auto line = logging::beginLine();
        logging::appendField(line, "time", utc_now());
        logging::appendField(line, "level", level_name(level));
        logging::appendField(line, "event", number);
        logging::appendField(line, "name", name);
        logging::appendField(line, "member", member_);
        for (const auto& field : fields) {
            logging::appendField(line, field.name, field.value);
        }
        logging::finishLine(line);
        log4cplus::Logger::getRoot().log(log_level, text_layout_ ? as_text(line) : line);
        recent_.push_back(std::move(line));
        if (recent_.size() > kRecentEvents) {
            recent_.pop_front();
        }
    }

    /// Whether one more line of an ordinary success may be written; the first after skipped ones tells how
    /// many, at most once a second.
    bool takes_routine_line(TimePoint now) {
        if (!logging::takeLine(routine_lines_, now)) {
            return false;
        }
        const auto skipped = logging::takeSkipped(routine_lines_, now);
        if (skipped > 0) {
            const auto& entry = entry_for(Event::kRoutineLinesSkipped);
            write(static_cast<unsigned>(entry.event), entry.name, entry.level,
                  {{"count", std::to_string(skipped)}});
        }
        return true;
    }

    std::vector<std::string> recent() const { return {recent_.begin(), recent_.end()}; }

  private:
    log4cplus::SharedAppenderPtr appender_for(LogOutput output) {
        if (output == LogOutput::kStandardOutput) {
            bounded_ = new BoundedOutput(STDOUT_FILENO);
            return log4cplus::SharedAppenderPtr(bounded_);
        }
        log4cplus::SharedAppenderPtr console(new log4cplus::ConsoleAppender(true, true));
        console->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
        // Writing to a slow terminal or pipe must not hold up the event loop.
        return log4cplus::SharedAppenderPtr(new log4cplus::AsyncAppender(console, kLogQueue));
    }

    static std::string upper(std::string text) {
        std::transform(text.begin(), text.end(), text.begin(),
                       [](unsigned char c) { return std::toupper(c); });
        return text;
    }

    static log4cplus::LogLevel to_log_level(Level level) {
        switch (level) {
            case Level::kDebug:
                return log4cplus::DEBUG_LOG_LEVEL;
            case Level::kInfo:
                return log4cplus::INFO_LOG_LEVEL;
            case Level::kWarn:
                return log4cplus::WARN_LOG_LEVEL;
            case Level::kError:
                return log4cplus::ERROR_LOG_LEVEL;
        }
        return log4cplus::INFO_LOG_LEVEL;
    }

    static std::string as_text(const std::string& line) {
        const auto object = ordered_json::parse(line);
        std::string text;
        for (const auto& [key, value] : object.items()) {
            text += text.empty() ? "" : " ";
            text += key + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
        }
        return text;
    }

    std::unique_ptr<log4cplus::Initializer> initializer_;
    bool started_ = false;
    bool text_layout_ = false;
    BoundedOutput* bounded_ = nullptr;  ///< Owned by the logger.
    std::string member_;
    std::deque<std::string> recent_;
    logging::LineBudget routine_lines_;
};

EventLog& event_log() {
    static EventLog log;
    return log;
}

}  // namespace

std::span<const EventEntry> event_catalogue() {
    return kCatalogue;
}

const EventEntry& entry_for(Event event) {
    return *std::find_if(kCatalogue.begin(), kCatalogue.end(),
                         [&](const EventEntry& entry) { return entry.event == event; });
}

void start_logging(const std::string& level, const std::string& layout, const std::string& member,
                   LogOutput output) {
    event_log().start(level, layout, member, output);
}

void set_log_scheduler(std::function<void()> schedule) {
    event_log().set_scheduler(std::move(schedule));
}

void flush_log() {
    event_log().flush();
}

void stop_logging() {
    event_log().stop();
}

void log_event(Event event, std::initializer_list<EventField> fields) {
    const auto& entry = entry_for(event);
    event_log().write(static_cast<unsigned>(event), entry.name, entry.level, fields);
}

void log_routine(Event event, std::initializer_list<EventField> fields) {
    if (event_log().takes_routine_line(TimePoint::clock::now())) {
        log_event(event, fields);
    }
}

bool log_unless_bound(std::error_code error, const Endpoint& address, std::string_view purpose) {
    if (error) {
        log_event(
            Event::kStartFailed,
            {{"address", address.text()}, {"purpose", std::string(purpose)}, {"reason", error.message()}});
    }
    return !error;
}

void log_answer(ErrorKind kind, std::initializer_list<EventField> fields) {
    const auto& answer = answer_for(kind);
    event_log().write(answer.event_number, answer.name, Level::kDebug, fields);
}

std::vector<std::string> recent_events() {
    return event_log().recent();
}

}  // namespace anisehold::observability
