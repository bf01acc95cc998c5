#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "observability/decision_ring.hpp"
#include "observability/events.hpp"
#include "observability/metrics.hpp"

using namespace anisehold;
using namespace anisehold::observability;

namespace {

std::string page(const std::string& name) {
    std::ifstream file(std::string(ANISEHOLD_SOURCE_DIR) + "/docs/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::size_t table_rows(const std::string& text) {
    std::istringstream lines(text);
    std::string line;
    std::size_t rows = 0;
    while (std::getline(lines, line)) {
        rows +=
            line.rfind("| `", 0) == 0 || (line.size() > 2 && line[0] == '|' && isdigit(line[2]) != 0) ? 1 : 0;
    }
    return rows;
}

}  // namespace

TEST_CASE("docs/EVENTS.md lists exactly the events in the code") {
    const auto text = page("EVENTS.md");
    std::size_t events = 0;
    for (const auto& entry : event_catalogue()) {
        const std::string line = "| " + std::to_string(static_cast<unsigned>(entry.event)) + " | " +
                                 std::string(entry.name) + " | " + std::string(entry.meaning) + " |";
        INFO(line);
        CHECK(text.find(line) != std::string::npos);
        ++events;
    }
    for (const auto& answer : error_answers()) {
        const std::string line = "| " + std::to_string(answer.event_number) + " | " +
                                 std::string(answer.name) + " | " + std::to_string(answer.http_status) +
                                 " | " + std::string(execution_name(answer.execution)) + " | " +
                                 (answer.retry_advice == RetryAdvice::kSoon ? "yes" : "no") + " | " +
                                 std::string(answer.title) + " |";
        INFO(line);
        CHECK(text.find(line) != std::string::npos);
        ++events;
    }
    CHECK(table_rows(text) == events);
}

TEST_CASE("docs/METRICS.md lists exactly the metrics in the code") {
    const auto text = page("METRICS.md");
    for (const auto& entry : metric_catalogue()) {
        const std::string line = "| `" + std::string(entry.name) + "` | " + std::string(entry.type) + " | " +
                                 std::string(entry.help) + " |";
        INFO(line);
        CHECK(text.find(line) != std::string::npos);
    }
    CHECK(table_rows(text) == metric_catalogue().size());
}

TEST_CASE("metrics are written as Prometheus text") {
    Metrics metrics;
    metrics.count_error("row", ErrorKind::kOverloaded);
    metrics.set_table_revision(7);
    CHECK(metrics.text().find("anisehold_errors_total{kind=\"overloaded\",row=\"row\"} 1") !=
          std::string::npos);
    CHECK(metrics.text().find("anisehold_table_revision 7") != std::string::npos);
}

TEST_CASE("the decision ring keeps the latest decisions") {
    DecisionRing ring;
    for (std::size_t count = 0; count < DecisionRing::kCapacity + 1; ++count) {
        ring.add(count == 0 ? "first" : "later", "call", DecisionStep::kReceived, "");
    }
    CHECK(ring.find("first").empty());
    CHECK(ring.find("later").size() == DecisionRing::kCapacity);
}
