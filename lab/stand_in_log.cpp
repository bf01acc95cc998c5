#include "lab/stand_in_log.hpp"

#include <chrono>
#include <iostream>

#include "logging/json_line.hpp"
#include "logging/utc_time.hpp"
#include "protocol/call_context.hpp"

namespace anisehold::lab {

void log_step(std::string_view step, std::string_view request_id, std::initializer_list<LogField> fields) {
    auto line = logging::beginLine();
    logging::appendField(line, "time", logging::utcText(std::chrono::system_clock::now()));
    logging::appendField(line, "step", step);
    logging::appendField(line, "request_id", request_id);
    for (const auto& field : fields) {
        logging::appendField(line, field.name, field.value);
    }
    logging::finishLine(line);
    std::cerr << line << '\n';
}

void log_call_result(std::string_view step, std::string_view request_id, const std::string& kind,
                     const std::optional<net::HttpResponse>& response, std::error_code error) {
    if (!response) {
        log_step(step, request_id, {{"kind", kind}, {"no_answer", error.message()}});
        return;
    }
    const auto field = [&](std::string_view name) {
        return std::string(response->fields.find(name).value_or(""));
    };
    log_step(step, request_id,
             {{"kind", kind},
              {"status", std::to_string(response->status)},
              {"error", field(header::kError)},
              {"execution", field(header::kExecution)},
              {"call_root", field(header::kRequestId)}});
}

}  // namespace anisehold::lab
