#include "protocol/call_context.hpp"

#include <algorithm>
#include <array>

#include "protocol/message_digest.hpp"
#include "protocol/number_text.hpp"

namespace anisehold {
namespace {

// Limits on header values; greater numbers and longer texts are malformed.
constexpr std::size_t kRootIdLength = 32;
constexpr std::size_t kCallIdLength = 16;
constexpr std::size_t kMaxHomeLength = 64;
constexpr unsigned kMaxPriority = 9;
constexpr unsigned kMaxAllowance = 100;
constexpr std::size_t kContextFields = 7;
constexpr std::size_t kReportFields = 8;
constexpr std::size_t kServiceField = 1;  // Index in the report of the only field that is not a number.
constexpr unsigned kMaxReported = 2'000'000'000;
constexpr std::string_view kContextPurpose = "context:";
constexpr std::string_view kGatePurpose = "gate:";

bool is_lower_hex(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](char character) {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
    });
}

std::string code_for(std::string_view purpose, std::string_view message, std::string_view key) {
    std::string material(purpose);
    material += message;
    return to_hex(message_authentication_code(key, material));
}

/// Splits "message;code" and checks the code.
std::optional<std::string_view> authenticated_part(std::string_view value, std::string_view purpose,
                                                   std::string_view suffix, std::string_view key) {
    const auto separator = value.rfind(';');
    if (separator == std::string_view::npos) {
        return std::nullopt;
    }
    const auto message = value.substr(0, separator);
    const auto code = value.substr(separator + 1);
    if (!equal_in_constant_time(code, code_for(purpose, std::string(message) + std::string(suffix), key))) {
        return std::nullopt;
    }
    return message;
}

std::optional<unsigned> parse_bounded(std::string_view text, unsigned maximum) {
    const auto value = parse_number<unsigned>(text);
    return value && *value <= maximum ? value : std::nullopt;
}

/// Splits `text` at ';' into exactly `Count` parts.
template <std::size_t Count>
std::optional<std::array<std::string_view, Count>> split_fields(std::string_view text) {
    std::array<std::string_view, Count> fields;
    for (std::size_t index = 0; index < Count; ++index) {
        const auto end = text.find(';');
        const bool last = index + 1 == Count;
        if (last != (end == std::string_view::npos)) {
            return std::nullopt;
        }
        fields[index] = text.substr(0, end);
        text.remove_prefix(last ? text.size() : end + 1);
    }
    return fields;
}

}  // namespace

std::string encode_call_context(const CallContext& context, std::string_view key) {
    std::string message = context.root_id;
    message += ';' + context.call_id;
    message += ';' + context.home;
    message += ';' + std::to_string(context.priority);
    message += ';' + std::to_string(context.retry_allowance);
    message += ';' + std::to_string(context.depth);
    message += ';' + std::to_string(context.dispatched_at_most_once ? 1 : 0);
    return message + ';' + code_for(kContextPurpose, message, key);
}

std::optional<CallContext> decode_call_context(std::string_view value, std::string_view key) {
    const auto message = authenticated_part(value, kContextPurpose, "", key);
    if (!message) {
        return std::nullopt;
    }
    const auto fields = split_fields<kContextFields>(*message);
    if (!fields) {
        return std::nullopt;
    }
    const auto& [root_id, call_id, home, priority_text, allowance_text, depth_text, once_text] = *fields;
    const auto priority = parse_bounded(priority_text, kMaxPriority);
    const auto allowance = parse_bounded(allowance_text, kMaxAllowance);
    const auto depth = parse_bounded(depth_text, kMaxDepth);
    const auto once = parse_bounded(once_text, 1);
    const bool ids_valid = root_id.size() == kRootIdLength && is_lower_hex(root_id) &&
                           call_id.size() == kCallIdLength && is_lower_hex(call_id) && !home.empty() &&
                           home.size() <= kMaxHomeLength;
    if (!ids_valid || !priority || !allowance || !depth || !once) {
        return std::nullopt;
    }
    CallContext context;
    context.root_id = root_id;
    context.call_id = call_id;
    context.home = home;
    context.priority = *priority;
    context.retry_allowance = *allowance;
    context.depth = *depth;
    context.dispatched_at_most_once = *once == 1;
    return context;
}

std::optional<std::string> trace_id_of(std::string_view trace_parent) {
    // version(2) '-' trace-id(32) '-' parent-id(16) '-' flags(2)
    constexpr std::size_t length = 55;
    constexpr std::size_t trace_id_start = 3;
    if (trace_parent.size() != length || trace_parent[2] != '-' || trace_parent[35] != '-' ||
        trace_parent[52] != '-') {
        return std::nullopt;
    }
    const auto trace_id = trace_parent.substr(trace_id_start, kRootIdLength);
    if (!is_lower_hex(trace_id) || trace_id == std::string(kRootIdLength, '0')) {
        return std::nullopt;
    }
    return std::string(trace_id);
}

std::string make_trace_parent(std::string_view trace_id, std::string_view span_id) {
    std::string value = "00-";
    value += trace_id;
    value += '-';
    value += span_id;
    return value + "-01";
}

std::string encode_gate_request(const GateRequest& request, std::string_view context, std::string_view key) {
    const std::string message = request.server + ',' + std::to_string(request.root_age_ms);
    const std::string code = code_for(kGatePurpose, message + std::string(context), key);
    return message + ';' + code;
}

std::optional<GateRequest> decode_gate_request(std::string_view value, std::string_view context,
                                               std::string_view key) {
    const auto message = authenticated_part(value, kGatePurpose, context, key);
    const auto separator = message ? message->rfind(',') : std::string_view::npos;
    if (separator == std::string_view::npos) {
        return std::nullopt;
    }
    const auto age = parse_bounded(message->substr(separator + 1), kMaxReported);
    if (!age) {
        return std::nullopt;
    }
    return GateRequest{std::string(message->substr(0, separator)), *age};
}

std::string encode_gate_report(const GateReport& report) {
    std::string value = std::to_string(report.retries_used);
    value += ';' + report.overloaded_service;
    value += ';' + std::to_string(report.nested_ran ? 1 : 0);
    value += ';' + std::to_string(report.leaving ? 1 : 0);
    value += ';' + std::to_string(report.in_flight);
    value += ';' + std::to_string(report.queued);
    value += ';' + std::to_string(report.limit);
    return value + ';' + std::to_string(report.retry_after_ms);
}

std::optional<GateReport> decode_gate_report(std::string_view value) {
    const auto fields = split_fields<kReportFields>(value);
    if (!fields) {
        return std::nullopt;
    }
    std::array<unsigned, kReportFields> numbers{};
    for (std::size_t index = 0; index < kReportFields; ++index) {
        const auto number =
            index == kServiceField ? std::optional(0U) : parse_bounded((*fields)[index], kMaxReported);
        if (!number) {
            return std::nullopt;
        }
        numbers[index] = *number;
    }
    GateReport report;
    report.retries_used = numbers[0];
    report.overloaded_service = (*fields)[kServiceField];
    report.nested_ran = numbers[2] != 0;
    report.leaving = numbers[3] != 0;
    report.in_flight = numbers[4];
    report.queued = numbers[5];
    report.limit = numbers[6];
    report.retry_after_ms = numbers[7];
    return report;
}

}  // namespace anisehold
