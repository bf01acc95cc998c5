#include "daemon/answer_store.hpp"

namespace anisehold::daemon {
namespace {

std::size_t size_of(const StoredAnswer& answer) {
    std::size_t bytes = answer.body.size();
    for (const auto& field : answer.fields) {
        bytes += field.name.size() + field.value.size();
    }
    return bytes;
}

}  // namespace

void AnswerStore::keep(TimePoint now, const std::string& key, StoredAnswer answer) {
    const auto bytes = size_of(answer) + key.size();
    if (bytes > kMaxAnswerBytes || answers_.contains(key)) {
        return;
    }
    bytes_ += bytes;
    order_.push_back({key, now, bytes});
    answers_[key] = std::move(answer);
    while (!order_.empty() && (bytes_ > kMaxTotalBytes || now - order_.front().kept_at >= window_)) {
        bytes_ -= order_.front().bytes;
        answers_.erase(order_.front().key);
        order_.pop_front();
    }
}

std::optional<StoredAnswer> AnswerStore::find(const std::string& key) const {
    const auto found = answers_.find(key);
    return found == answers_.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace anisehold::daemon
