#include "tests/support/request_load.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <random>

#include "net/event_loop.hpp"

namespace anisehold::testing {
namespace {

constexpr unsigned kOk = 200;
constexpr seconds kMaxDrainTime{10};

}  // namespace

void RequestLoad::start(milliseconds gap) {
    stopped_ = false;
    ++fibers_;
    net::EventLoop::spawn([this, gap] {
        send_all(gap);
        --fibers_;
    });
}

void RequestLoad::send_all(milliseconds gap) {
    std::mt19937 random(seed_);
    while (!stopped_) {
        send_one(std::uniform_int_distribution<std::size_t>(0, fleet_.size() - 1)(random));
        boost::this_fiber::sleep_for(gap);
    }
}

void RequestLoad::send_one(std::size_t machine) {
    auto& request = *requests_.emplace_back(std::make_unique<LoadRequest>());
    request.id = "load-" + std::to_string(requests_.size());
    request.machine = machine;
    request.sent = TimePoint::clock::now();
    ++fibers_;
    net::EventLoop::spawn([this, &request] {
        request.answer = fleet_.send(
            request.machine, {"GET", service_ + ".example", "/" + service_ + "/" + request.id, request.id});
        if (observer_) {
            observer_(request);
        }
        --fibers_;
    });
}

void RequestLoad::stop() {
    stopped_ = true;
    poll_until(kMaxDrainTime, [this] { return fibers_ == 0; });
}

void RequestLoad::run(milliseconds time, milliseconds gap) {
    start(gap);
    boost::this_fiber::sleep_for(time);
    stop();
}

double RequestLoad::served_share(TimePoint since) const {
    const auto counts = [&](const auto& request) { return request->sent >= since; };
    const auto all = std::count_if(requests_.begin(), requests_.end(), counts);
    const auto served = std::count_if(requests_.begin(), requests_.end(), [&](const auto& request) {
        return counts(request) && request->answer.status == kOk;
    });
    return all > 0 ? static_cast<double>(served) / static_cast<double>(all) : 0;
}

}  // namespace anisehold::testing
