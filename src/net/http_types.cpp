#include "net/http_types.hpp"

#include <strings.h>

#include <algorithm>
#include <utility>

namespace anisehold::net {
namespace {

bool same_name(std::string_view left, std::string_view right) {
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace

std::optional<std::string_view> HeaderFields::find(std::string_view name) const {
    const auto found = std::find_if(fields_.begin(), fields_.end(),
                                    [&](const HeaderField& field) { return same_name(field.name, name); });
    if (found == fields_.end()) {
        return std::nullopt;
    }
    return found->value;
}

void HeaderFields::set(std::string_view name, std::string value) {
    remove(name);
    fields_.push_back({std::string(name), std::move(value)});
}

void HeaderFields::remove(std::string_view name) {
    std::erase_if(fields_, [&](const HeaderField& field) { return same_name(field.name, name); });
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
