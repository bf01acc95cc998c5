#include "observability/events.hpp"

#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>

#include "logging/json_line.hpp"
#include "logging/line_budget.hpp"
#include "logging/utc_time.hpp"
#include "observability/bounded_output.hpp"

namespace anisehold::observability {
namespace {

using nlohmann::ordered_json;

/// Maximum number of lines returned by `recent_events`.
constexpr std::size_t kRecentEvents = 500;

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

/// The process-wide logger and its ring of recent events.
class EventLog {
  public:
    void start(const std::string& level, const std::string& layout, const std::string& member,
               LogOutput output) {
        initializer_ = std::make_unique<log4cplus::Initializer>();
        text_layout_ = layout == "text";
        member_ = member;
        auto logger = log4cplus::Logger::getRoot();
        logger.addAppender(appender_for(output));
        logger.setLogLevel(log4cplus::getLogLevelManager().fromString(upper(level)));
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
        logging::appendField(line, "time", logging::utcText(std::chrono::system_clock::now()));
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

    /// Whether another routine line may be written. The first line after skipped lines is preceded by their
    /// count, at most once a second.
    bool admit_routine_line(TimePoint now) {
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
        bounded_ = new BoundedOutput(output == LogOutput::kStandardOutput ? STDOUT_FILENO : STDERR_FILENO);
        return log4cplus::SharedAppenderPtr(bounded_);
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
    if (event_log().admit_routine_line(TimePoint::clock::now())) {
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
