#include "net/http_types.hpp"

#include <strings.h>

#include <algorithm>
#include <utility>

namespace anisehold::net {
namespace {

constexpr std::string_view kSeparator = ": ";
constexpr std::string_view kLineBreak = "\r\n";

bool same_name(std::string_view left, std::string_view right) {
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace

HeaderFields::Iterator& HeaderFields::Iterator::operator++() {
    lines_.remove_prefix(field_.name.size() + kSeparator.size() + field_.value.size() + kLineBreak.size());
    parse();
    return *this;
}

void HeaderFields::Iterator::parse() {
    const auto name_size = lines_.find(kSeparator.front());
    if (name_size == std::string_view::npos) {
        return;
    }
    const auto value_at = name_size + kSeparator.size();
    const auto value_end = lines_.find(kLineBreak.front(), value_at);
    field_ = {lines_.substr(0, name_size), lines_.substr(value_at, value_end - value_at)};
}

std::optional<std::string_view> HeaderFields::find(std::string_view name) const {
    for (const auto& field : *this) {
        if (same_name(field.name, name)) {
            return field.value;
        }
    }
    return std::nullopt;
}

void HeaderFields::set(std::string_view name, std::string_view value) {
    // The value may be a view of these fields.
    const std::string copy(value);
    remove(name);
    add(name, copy);
}

void HeaderFields::add(std::string_view name, std::string_view value) {
    lines_.append(name).append(kSeparator);
    const auto value_at = lines_.size();
    lines_.append(value);
    const auto is_line_break = [](char c) { return c == '\r' || c == '\n'; };
    std::replace_if(lines_.begin() + static_cast<std::ptrdiff_t>(value_at), lines_.end(), is_line_break, ' ');
    lines_.append(kLineBreak);
}

void HeaderFields::remove(std::string_view name) {
    if (!find(name)) {
        return;
    }
    HeaderFields kept;
    kept.lines_.reserve(lines_.size());
    for (const auto& field : *this) {
        if (!same_name(field.name, name)) {
            kept.add(field.name, field.value);
        }
    }
    lines_ = std::move(kept.lines_);
}

HttpResponse make_response(unsigned status, std::string content_type, std::string body) {
    HttpResponse response;
    response.status = status;
    response.fields.add("Content-Type", std::move(content_type));
    response.body.length = body.size();
    response.body.prefix = std::move(body);
    return response;
}

HttpRequest make_request(std::string method, std::string target, std::string body) {
    HttpRequest request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.body.length = body.size();
    request.body.prefix = std::move(body);
    return request;
}

void CancelSignal::cancel() {
    if (std::exchange(cancelled_, true)) {
        return;
    }
    const auto callback = callback_;
    if (callback) {
        callback();
    }
}

CancelSubscription::CancelSubscription(CancelSignal* signal, CancelSignal::Callback callback)
    : signal_(signal) {
    if (signal_ != nullptr) {
        signal_->on_cancel(std::move(callback));
    }
}

CancelSubscription::~CancelSubscription() {
    if (signal_ != nullptr) {
        signal_->on_cancel({});
    }
}

}  // namespace anisehold::net
