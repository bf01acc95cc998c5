#include "hop/hop_header.hpp"

#include <array>
#include <map>

#include "protocol/number_text.hpp"

namespace anisehold::hop {
namespace {

constexpr unsigned kMaxPercent = 100;
/// Characters that a text field must not contain.
constexpr std::string_view kReserved = ";\r\n";

/// Names in the order of the enum.
constexpr std::array<std::string_view, 6> kOutcomeNames{"answered", "not-sent", "refused-by-server",
                                                        "unknown",  "granted",  "waiting"};

using Fields = std::map<std::string_view, std::string_view>;

void append(std::string& text, std::string_view name, std::string_view value) {
    if (!text.empty()) {
        text += ';';
    }
    text.append(name).append("=").append(value);
}

void append(std::string& text, std::string_view name, std::uint64_t value) {
    append(text, name, std::string_view(std::to_string(value)));
}

Fields split(std::string_view text) {
    Fields fields;
    while (!text.empty()) {
        const auto end = text.find(';');
        const auto part = text.substr(0, end);
        const auto equals = part.find('=');
        if (equals != std::string_view::npos) {
            fields[part.substr(0, equals)] = part.substr(equals + 1);
        }
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    }
    return fields;
}

template <typename Number>
bool read(const Fields& fields, std::string_view name, Number& number) {
    const auto found = fields.find(name);
    const auto parsed = found == fields.end() ? std::nullopt : parse_number<Number>(found->second);
    number = parsed.value_or(Number{});
    return parsed.has_value();
}

/// Reads a number that is omitted when it is 0, the usual case.
template <typename Number>
bool read_unless_zero(const Fields& fields, std::string_view name, Number& number) {
    return !fields.contains(name) || read(fields, name, number);
}

/// Reads a rate, which is omitted when there is none, the usual case.
bool read(const Fields& fields, std::string_view name, std::optional<RequestRate>& rate) {
    RequestRate value;
    if (!fields.contains(name)) {
        return true;
    }
    const bool readable = read(fields, name, value.value);
    rate = readable ? std::optional(value) : std::nullopt;
    return readable;
}

void append(std::string& text, std::string_view name, const std::optional<RequestRate>& rate) {
    if (rate) {
        append(text, name, std::uint64_t{rate->value});
    }
}

void append_unless_zero(std::string& text, std::string_view name, std::uint64_t value) {
    if (value != 0) {
        append(text, name, value);
    }
}

/// Reads a number that is omitted when it is unknown.
bool read(const Fields& fields, std::string_view name, std::optional<unsigned>& number) {
    unsigned value = 0;
    if (!fields.contains(name)) {
        return true;
    }
    const bool readable = read(fields, name, value);
    number = readable ? std::optional(value) : std::nullopt;
    return readable;
}

void append_slow_percent(std::string& text, const HopResult& result) {
    if (result.slow_percent != kUsualSlowPercent) {
        append(text, "slow_percent", result.slow_percent);
    }
}

/// Reads the slowness, which is omitted at the usual speed.
bool read_slow_percent(const Fields& fields, HopResult& result) {
    return !fields.contains("slow_percent") || read(fields, "slow_percent", result.slow_percent);
}

bool read(const Fields& fields, std::string_view name, std::string& text) {
    const auto found = fields.find(name);
    if (found == fields.end()) {
        return false;
    }
    text = std::string(found->second);
    return true;
}

void append_reservation(std::string& text, const HopRequest& request) {
    append_unless_zero(text, "reserve", request.reserve ? 1 : 0);
    append_unless_zero(text, "ticket", request.ticket);
    append_unless_zero(text, "grant", request.grant);
    append_unless_zero(text, "withdraw", request.withdraw);
}

void append_reservation(std::string& text, const HopResult& result) {
    append_unless_zero(text, "ticket", result.ticket);
    append_unless_zero(text, "grant", result.grant);
    append_unless_zero(text, "grant_ms", static_cast<std::uint64_t>(result.grant_time.count()));
}

bool read_reservation(const Fields& fields, HopRequest& request) {
    unsigned reserve = 0;
    const bool whole = read_unless_zero(fields, "reserve", reserve) &&
                       read_unless_zero(fields, "ticket", request.ticket) &&
                       read_unless_zero(fields, "grant", request.grant) &&
                       read_unless_zero(fields, "withdraw", request.withdraw);
    request.reserve = reserve != 0;
    return whole;
}

bool read_reservation(const Fields& fields, HopResult& result) {
    std::uint32_t grant_ms = 0;
    const bool whole = read_unless_zero(fields, "ticket", result.ticket) &&
                       read_unless_zero(fields, "grant", result.grant) &&
                       read_unless_zero(fields, "grant_ms", grant_ms);
    result.grant_time = milliseconds(grant_ms);
    return whole;
}

/// Appends the origin of the request, as far as it is known.
void append_origin(std::string& text, const HopRequest& request) {
    if (!request.root_row.empty() && request.root_row.find_first_of(kReserved) == std::string::npos) {
        append(text, "root_row", std::string_view(request.root_row));
    }
    if (request.root_priority) {
        append(text, "root_priority", *request.root_priority);
    }
    append_unless_zero(text, "made", request.made);
}

/// Reads the origin; a root without a row or a rank is valid.
bool read_origin(const Fields& fields, HopRequest& request) {
    const bool has_row = fields.contains("root_row");
    return (!has_row || read(fields, "root_row", request.root_row)) &&
           read(fields, "root_priority", request.root_priority) &&
           read_unless_zero(fields, "made", request.made);
}

}  // namespace

std::string_view outcome_name(HopOutcome outcome) {
    return kOutcomeNames.at(static_cast<std::size_t>(outcome));
}

std::string encode(const HopRequest& request) {
    std::string text;
    append(text, "instance", std::string_view(request.instance));
    append(text, "caller", std::string_view(request.caller));
    append(text, "priority", request.priority);
    append(text, "remaining_ms", static_cast<std::uint64_t>(request.remaining.count()));
    append(text, "longest_wait_ms", static_cast<std::uint64_t>(request.max_wait.count()));
    append(text, "once", request.at_most_once ? 1 : 0);
    append(text, "repeat_percent", request.retry_percent);
    append_unless_zero(text, "crashes", request.crashes);
    append(text, "rate_limit", request.rate_limit);
    append_unless_zero(text, "retry", request.is_retry ? 1 : 0);
    const bool is_plain = request.row.find_first_of(kReserved) == std::string::npos;
    append(text, "row", std::string_view(is_plain ? request.row : std::string()));
    append_reservation(text, request);
    append_origin(text, request);
    return text;
}

std::string encode(const HopResult& result) {
    std::string text;
    append(text, "outcome", outcome_name(result.outcome));
    append(text, "error", answer_for(result.error).name);
    append(text, "retry_after_ms", static_cast<std::uint64_t>(result.retry_after.count()));
    append(text, "instance", std::string_view(result.instance));
    append(text, "in_flight", result.in_flight);
    append(text, "queued", result.queued);
    append(text, "limit", result.limit);
    append(text, "latency_us", result.latency_us);
    append(text, "failed_percent", result.failed_percent);
    append_unless_zero(text, "crashes", result.crashes);
    append(text, "rate_limit", result.rate_limit);
    append_unless_zero(text, "declined_percent", result.declined_percent);
    append_unless_zero(text, "leaves", result.server_leaves ? 1 : 0);
    append_slow_percent(text, result);
    append(text, "overloaded", std::string_view(result.overloaded_service));
    append_reservation(text, result);
    return text;
}

std::optional<HopRequest> decode_hop_request(std::string_view text) {
    const auto fields = split(text);
    HopRequest request;
    std::uint32_t remaining_ms = 0;
    std::uint32_t longest_wait_ms = 0;
    unsigned once = 0;
    unsigned retry = 0;
    const bool whole = read(fields, "instance", request.instance) && read(fields, "caller", request.caller) &&
                       read(fields, "row", request.row) && read(fields, "priority", request.priority) &&
                       read(fields, "remaining_ms", remaining_ms) &&
                       read(fields, "longest_wait_ms", longest_wait_ms) && read(fields, "once", once) &&
                       read(fields, "repeat_percent", request.retry_percent) &&
                       read_unless_zero(fields, "crashes", request.crashes) &&
                       read(fields, "rate_limit", request.rate_limit) &&
                       read_unless_zero(fields, "retry", retry) && request.retry_percent <= kMaxPercent;
    if (!whole || !read_reservation(fields, request) || !read_origin(fields, request)) {
        return std::nullopt;
    }
    request.remaining = milliseconds(remaining_ms);
    request.max_wait = milliseconds(longest_wait_ms);
    request.at_most_once = once != 0;
    request.is_retry = retry != 0;
    return request;
}

std::optional<HopResult> decode_hop_result(std::string_view text) {
    const auto fields = split(text);
    HopResult result;
    std::string outcome;
    std::string error;
    std::uint32_t retry_after_ms = 0;
    unsigned leaves = 0;
    const bool whole =
        read(fields, "outcome", outcome) && read(fields, "error", error) &&
        read(fields, "retry_after_ms", retry_after_ms) && read(fields, "instance", result.instance) &&
        read(fields, "in_flight", result.in_flight) && read(fields, "queued", result.queued) &&
        read(fields, "limit", result.limit) && read(fields, "latency_us", result.latency_us) &&
        read(fields, "failed_percent", result.failed_percent) &&
        read_unless_zero(fields, "crashes", result.crashes) &&
        read(fields, "rate_limit", result.rate_limit) && read_unless_zero(fields, "leaves", leaves) &&
        read_unless_zero(fields, "declined_percent", result.declined_percent) &&
        result.declined_percent <= kMaxPercent && read(fields, "overloaded", result.overloaded_service) &&
        read_slow_percent(fields, result);
    const auto kind = error_kind_from_name(error);
    if (!whole || !kind || !read_reservation(fields, result)) {
        return std::nullopt;
    }
    for (std::size_t index = 0; index < kOutcomeNames.size(); ++index) {
        if (kOutcomeNames.at(index) == outcome) {
            result.outcome = static_cast<HopOutcome>(index);
            result.error = *kind;
            result.retry_after = milliseconds(retry_after_ms);
            result.server_leaves = leaves != 0;
            return result;
        }
    }
    return std::nullopt;
}

}  // namespace anisehold::hop
