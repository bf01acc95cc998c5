#include <boost/asio/io_context.hpp>
#include <boost/fiber/operations.hpp>
#include <catch2/catch.hpp>

#include "platform/dialect.hpp"
#include "sidecar/crash_exchange.hpp"
#include "wire_samples.hpp"

using namespace anisehold;

namespace {

constexpr const char* kTimeInFile = "1796253560006";

/// Store that records written items and requested keys.
class KeptCalls final : public store::CoordinationStore {
  public:
    store::ReadReply read(const std::string& key, store::ReadMode /*freshness*/,
                          TimePoint /*deadline*/) override {
        calls.push_back({"read", key});
        return {store::CallOutcome::kDone, {key, "", 7}, 7};
    }
    store::ListReply list(const std::string& /*prefix*/, const std::string& /*after*/,
                          store::ReadMode /*freshness*/, TimePoint /*deadline*/) override {
        return {};
    }
    store::WatchReply watch(const std::string& /*prefix*/, std::uint64_t /*after_revision*/,
                            milliseconds /*wait*/) override {
        return {};
    }
    store::WriteReply write(const std::vector<store::StoreItem>& items, TimePoint /*deadline*/) override {
        for (const auto& item : items) {
            calls.push_back({"write " + item.key, item.value});
        }
        return {store::CallOutcome::kDone, 8};
    }
    store::WriteReply remove(const std::string& key, std::uint64_t revision,
                             TimePoint /*deadline*/) override {
        calls.push_back({"remove " + std::to_string(revision), key});
        return {store::CallOutcome::kDone, 9};
    }

    std::vector<golden::Sample> calls;
};

/// The crash records of one daemon without peers.
struct Exchange {
    boost::asio::io_context io;
    platform::Dialect dialect;
    sidecar::SidecarContext context{io, dialect, {}};
    KeptCalls store;
    membership::PeerDirectory directory{"self", "z", {}};
    sidecar::CrashExchange crashes{context, store, directory};
};

const RequestIdentity kRequest{{0x0102030405060708, 0x1112131415161718}, CallerDigest(0xfedcba9876543210)};

std::string now_text() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::to_string(std::chrono::duration_cast<milliseconds>(now).count());
}

/// Runs the started fibers.
void run_fibers() {
    for (int round = 0; round < 10; ++round) {
        boost::this_fiber::yield();
    }
}

}  // namespace

TEST_CASE("a verdict is written, read and removed under the same key", "[golden]") {
    Exchange here;
    here.crashes.on_crash({{kRequest, 2}});
    run_fibers();
    REQUIRE(here.store.calls.size() == 1);
    // The second number is the current time.
    auto& value = here.store.calls.front().bytes;
    const auto start = value.find(' ') + 1;
    value.replace(start, value.find(' ', start) - start, kTimeInFile);
    REQUIRE(here.crashes.lift(kRequest.digest));
    run_fibers();
    golden::check("verdict-calls.txt", golden::text_of(here.store.calls));
}

TEST_CASE("a previously written verdict is loaded from the store", "[golden]") {
    const auto calls = golden::texts_in("verdict-calls.txt");
    REQUIRE(calls.size() == 3);
    const std::string key = calls[0].name.substr(std::string("write ").size());
    auto value = calls[0].bytes;
    value.replace(value.find(kTimeInFile), std::string(kTimeInFile).size(), now_text());
    Exchange here;
    here.crashes.on_stored({{key, value, 8}}, false);
    const auto now = TimePoint::clock::now();
    CHECK(here.crashes.crashes_of(now, kRequest) == 3);
    CHECK(here.crashes.is_condemned(now, kRequest));
    CHECK(here.crashes.remembered(now).size() == 1);
}
