#include <algorithm>
#include <catch2/catch.hpp>
#include <regex>
#include <sstream>
#include <string>
#include <vector>

#include "config/mechanisms.hpp"
#include "config/table.hpp"
#include "golden.hpp"
#include "logging/json_line.hpp"
#include "observability/events.hpp"
#include "observability/metrics.hpp"
#include "protocol/call_context.hpp"
#include "protocol/error_kind.hpp"

using namespace anisehold;

namespace {

std::string_view level_text(observability::Level level) {
    switch (level) {
        case observability::Level::kDebug:
            return "debug";
        case observability::Level::kInfo:
            return "info";
        case observability::Level::kWarn:
            return "warn";
        case observability::Level::kError:
            return "error";
    }
    return "unknown";
}

std::string text_of(const std::vector<config::TableError>& errors) {
    std::string text;
    for (const auto& error : errors) {
        text += "  " + error.text() + "\n";
    }
    return text;
}

/// Sorts the lines, because the library's order of samples in a family is unspecified.
std::string sorted_lines(const std::string& text) {
    std::istringstream stream(text);
    std::vector<std::string> lines;
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(line);
    }
    std::sort(lines.begin(), lines.end());
    std::string sorted;
    for (const auto& line : lines) {
        sorted += line + "\n";
    }
    return sorted;
}

/// Makes carriage returns visible, which editors hide or drop.
std::string with_visible_returns(const std::string& text) {
    std::string shown;
    for (const char character : text) {
        shown += character == '\r' ? std::string("<CR>") : std::string(1, character);
    }
    return shown;
}

constexpr const char* kTable =
    "name,kind,match,priority,weight,limit,timeout_ms,retries,repeatable\n"
    "orders,service,,1,2,30,4000,5,no\n"
    "read,request,GET orders /a,6,7,8,9000,10,yes\n"
    "any,request,* orders /,0,1,0,1,0,no\n";

constexpr const char* kBadTable =
    "name,kind,match,priority,weight,limit,timeout_ms,retries,repeatable\n"
    "bad name,service,,1,1,0,1000,0,yes\n"
    "a,server,,10,0,100001,0,11,maybe\n"
    "b,service,GET b /,1,1,0,1000,0,yes\n"
    "c,request,,1,1,0,1000,0,yes\n"
    "d,request,GET d,1,1,0,1000,0,yes\n"
    "e,service\n";

constexpr const char* kUnrelatedRows =
    "name,kind,match,priority,weight,limit,timeout_ms,retries,repeatable\n"
    "a,service,,1,1,0,1000,0,yes\n"
    "a,service,,1,1,0,1000,0,yes\n"
    "b,request,GET c /,1,1,0,1000,0,yes\n"
    "d,request,GET a /,1,1,0,1000,0,yes\n"
    "e,request,GET a /,1,1,0,1000,0,yes\n";

}  // namespace

TEST_CASE("the table of error kinds", "[golden]") {
    std::string text = std::string("category: ") + error_kind_category().name() + "\n";
    for (const auto& answer : error_answers()) {
        const auto code = make_error_code(answer.kind);
        text += std::string(answer.name) + "\n  code: " + std::to_string(code.value()) +
                "\n  event: " + std::to_string(answer.event_number) +
                "\n  status: " + std::to_string(answer.http_status) +
                "\n  execution: " + std::string(execution_name(answer.execution)) +
                "\n  come back: " + (answer.retry_advice == RetryAdvice::kSoon ? "soon" : "never") +
                "\n  title: " + std::string(answer.title) + "\n  message: " + code.message() + "\n";
        CHECK(error_kind_from_name(answer.name) == answer.kind);
    }
    golden::check("catalogue_error_kinds.txt", text);
}

TEST_CASE("the catalogue of events", "[golden]") {
    std::string text;
    for (const auto& entry : observability::event_catalogue()) {
        text += std::to_string(static_cast<unsigned>(entry.event)) + " " + std::string(entry.name) + " " +
                std::string(level_text(entry.level)) + "\n  " + std::string(entry.meaning) + "\n";
    }
    golden::check("catalogue_events.txt", text);
}

TEST_CASE("the catalogue of metrics", "[golden]") {
    std::string text;
    for (const auto& entry : observability::metric_catalogue()) {
        text +=
            std::string(entry.name) + " " + std::string(entry.type) + "\n  " + std::string(entry.help) + "\n";
    }
    golden::check("catalogue_metrics.txt", text);
}

TEST_CASE("the text format of every metric and label", "[golden]") {
    observability::Metrics metrics;
    metrics.count_answer("row", 204, milliseconds(3));
    metrics.count_answer("row", 503, milliseconds(700));
    metrics.count_error("row", ErrorKind::kOverloaded);
    metrics.count_retry("row");
    metrics.count_dispatch("orders");
    metrics.count_claim("won");
    metrics.count_gossip_bytes(100, 200);
    metrics.set_gate("server", {3, 4, 5});
    metrics.set_members("alive", 6);
    metrics.count_server_crash("orders");
    metrics.set_suspects("condemned", 7);
    metrics.set_table_revision(8);
    metrics.set_server_rate("orders", 11.5);
    metrics.count_rate_refusal("orders");
    metrics.count_reservation("granted");
    metrics.count_gate_retry("orders", 2, true);
    metrics.count_gate_retry("orders", 3, false);
    metrics.set_declined_share("orders", 0.55);
    metrics.set_server_slowness("server", 2.5);
    metrics.count_excess_refusal("tenant");
    metrics.count_surplus_response("orders", "same");
    metrics.count_connection_given_up();
    golden::check("catalogue_metrics_text.txt", sorted_lines(metrics.text()));
}

TEST_CASE("header lines between daemons, callers and back ends", "[golden]") {
    std::string text;
    for (const auto name :
         {header::kContext, header::kTimeout, header::kNotRun, header::kError, header::kExecution,
          header::kReplayed, header::kRetryAfter, header::kGate, header::kGateReport, header::kTraceParent,
          header::kIdempotencyKey, header::kRequestId}) {
        text += std::string(name) + "\n";
    }
    golden::check("catalogue_headers.txt", text);
}

TEST_CASE("names of the table's columns and of mechanisms", "[golden]") {
    std::string text;
    for (const auto column : config::kTableColumns) {
        text += "column: " + std::string(column) + "\n";
    }
    for (std::size_t index = 0; index < static_cast<std::size_t>(config::Mechanism::kCount); ++index) {
        const auto mechanism = static_cast<config::Mechanism>(index);
        const auto name = config::mechanism_name(mechanism);
        text += "mechanism: " + std::string(name) + "\n";
        CHECK(config::mechanism_from_name(name) == mechanism);
    }
    golden::check("catalogue_names.txt", text + "all: " + config::mechanism_names() + "\n");
}

TEST_CASE("a table as CSV, its record in the store, and its error messages", "[golden]") {
    const auto good = config::parse_table_csv(kTable);
    REQUIRE(good.errors.empty());
    std::string text = "-- CSV\n" + with_visible_returns(config::to_csv(good.table));
    text += "-- record\n" +
            config::to_json_text({17, "change-1", "author-1", "2026-01-02T03:04:05Z", good.table}) + "\n";
    text += "-- bad cells\n" + text_of(config::parse_table_csv(kBadTable).errors);
    text += "-- rows that don't go together\n" + text_of(config::parse_table_csv(kUnrelatedRows).errors);
    text += "-- header\n" + text_of(config::parse_table_csv("name,name,kin\n").errors);
    text += "-- empty\n" + text_of(config::parse_table_csv("").errors);
    text += "-- records\n" + text_of(config::parse_table_record("{}").errors);
    text += text_of(
        config::parse_table_record(
            R"({"sequence":1,"change_id":"c","author":"a","accepted_at":"t","rows":[{"name":"a"},5]})")
            .errors);
    golden::check("catalogue_table.txt", text);
}

TEST_CASE("a log line with every kind of value", "[golden]") {
    auto line = logging::beginLine();
    logging::appendField(line, "text", "plain words");
    logging::appendField(line, "empty", "");
    logging::appendField(line, "least", 0U);
    logging::appendField(line, "most", 4'294'967'295U);
    logging::appendField(line, "quotes", "a\"b\\c/d");
    logging::appendField(line, "controls", std::string("\t\n\r\x01\x1f\x7f") + '\0');
    logging::appendField(line, "letters", "\xC3\xA9 \xE2\x82\xAC \xF0\x9F\x8D\x80");
    logging::appendField(line, "no letters", "\xC3 \xE2\x82 \xFF");
    logging::appendField(line, "na\"me", "value");
    logging::finishLine(line);
    golden::check("catalogue_log_line.txt", line + "\n");
}

TEST_CASE("the log lines of an event and of an error response", "[golden]") {
    observability::start_logging("debug", "json", "n1");
    const auto before = observability::recent_events().size();
    observability::log_event(observability::Event::kServerRegistered,
                             {{"instance", "i-1"}, {"slots", "16"}, {"empty", ""}});
    observability::log_answer(ErrorKind::kOverloaded, {{"request_id", "9c41"}});
    observability::stop_logging();
    const auto lines = observability::recent_events();
    REQUIRE(lines.size() == before + 2);
    const std::regex time(R"(^\{"time":"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z")");
    std::string text;
    for (auto index = before; index < lines.size(); ++index) {
        INFO(lines[index]);
        CHECK(std::regex_search(lines[index], time));
        text += std::regex_replace(lines[index], time, R"({"time":"TIME")") + "\n";
    }
    golden::check("catalogue_event_lines.txt", text);
}
