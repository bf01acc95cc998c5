// The platform path with real sidecar processes; the test process simulates the store, the servers and the
// clients.

#include <catch2/catch.hpp>
#include <future>
#include <set>

#include "hop/hop_header.hpp"
#include "tests/integration/raw_socket.hpp"
#include "tests/support/sidecar_fleet.hpp"

using namespace anisehold;
using namespace anisehold::testing;

namespace {

std::uint16_t next_base_port() {
    static std::uint16_t port = 26'000;
    port = static_cast<std::uint16_t>(port + 100);
    return port;
}

/// Two machines of "front", whose requests call "back" twice, and two of "back"; "pay" runs at most once.
std::vector<SidecarMachinePlan> chain() {
    const std::vector<lab::NestedCall> calls{{"back.example", "/back/1"}, {"back.example", "/back/2"}};
    return {{"z1", "front", calls, 16, milliseconds(5)}, {"z2", "front", calls, 16, milliseconds(5)},
            {"z1", "back", {}, 16, milliseconds(5)},     {"z2", "back", {}, 16, milliseconds(5)},
            {"z1", "pay", {}, 16, milliseconds(5)},      {"z2", "pay", {}, 16, milliseconds(5)}};
}

std::string chain_configuration(unsigned version) {
    return configuration_text(version, {"front", "back"}, {"pay"});
}

/// Calls to the store that are charged at the full price.
std::uint64_t full_calls(SidecarFleet& fleet) {
    return fleet.store().calls() - fleet.store().stale_reads();
}

/// Sends `count` requests to all machines in turn, and counts the responses by status.
std::map<unsigned, unsigned> send_many(SidecarFleet& fleet, const ClientRequest& pattern, int count) {
    std::map<unsigned, unsigned> statuses;
    for (int index = 0; index < count; ++index) {
        auto request = pattern;
        request.id = pattern.id + "-" + std::to_string(index);
        ++statuses[fleet.send(static_cast<std::size_t>(index) % fleet.size(), request).status];
    }
    return statuses;
}

}  // namespace

TEST_CASE("a request passes through the chain of services and its response returns unchanged", "[sidecar]") {
    SidecarFleet fleet(next_base_port(), chain());
    REQUIRE(fleet.start(chain_configuration(1)));
    const auto answer = fleet.send(0, {"GET", "front.example", "/front/a?b=c", "one"});
    CHECK(answer.status == 200);
    CHECK(answer.body == "front /front/a?b=c");
    CHECK(answer.fields.find("Request-Id") == "one");
    CHECK(answer.fields.find("Server-Signature"));
    CHECK_FALSE(answer.fields.find("Anisehold-Hop-Result"));
    CHECK(fleet.runs_of("one") == 1);
    CHECK(send_many(fleet, {"GET", "front.example", "/front/a", "many"}, 60)[200] == 60);
    CHECK(fleet.send(0, {"GET", "front.example", "/nowhere/", "two"}).status == 404);
    CHECK(fleet.send(0, {"GET", "front.example", "/front/", ""}).status == 400);
    CHECK(fleet.metrics_of(0).find("anisehold_answers_total") != std::string::npos);
    CHECK(fleet.eventually(
        seconds(2), [&] { return fleet.log_of(0).find("\"request_id\":\"many-0\"") != std::string::npos; }));
}

TEST_CASE("servers receive the origin of a request", "[sidecar]") {
    SidecarFleet fleet(next_base_port(), chain());
    REQUIRE(fleet.start(chain_configuration(1)));
    REQUIRE(fleet.send(4, {"GET", "back.example", "/back/", "from-pay"}).status == 200);
    std::set<std::string> callers;
    for (const std::size_t index : {2U, 3U}) {
        const auto& told = fleet.machine(index).server->callers();
        if (told.contains("from-pay")) {
            callers.insert(told.at("from-pay"));
        }
    }
    CHECK(callers == std::set<std::string>{"pay"});
}

TEST_CASE("an at-most-once request whose response is lost runs once and is never reported as not run",
          "[sidecar]") {
    SidecarFleet fleet(next_base_port(), chain());
    REQUIRE(fleet.start(chain_configuration(1)));
    for (const std::size_t index : {4U, 5U}) {
        fleet.machine(index).server->faults.loses_answers = true;
    }
    for (int request = 0; request < 20; ++request) {
        const auto id = "pay-" + std::to_string(request);
        const auto answer = fleet.send(static_cast<std::size_t>(request) % fleet.size(),
                                       {"POST", "pay.example", "/pay/", id});
        CHECK(answer.status == 502);
        CHECK(fleet.runs_of(id) == 1);
    }
}

TEST_CASE("an at-most-once request that a server declined may run once at another server", "[sidecar]") {
    SidecarFleet fleet(next_base_port(), chain());
    REQUIRE(fleet.start(chain_configuration(1)));
    fleet.machine(4).server->faults.declines = true;
    fleet.pause(seconds(2));  // A new process has no share of the extra retries in its first window.
    unsigned served = 0;
    for (int request = 0; request < 20; ++request) {
        const auto id = "pay-" + std::to_string(request);
        const auto answer = fleet.send(static_cast<std::size_t>(request) % fleet.size(),
                                       {"POST", "pay.example", "/pay/", id});
        CHECK((answer.status == 200 || answer.status == 503));
        CHECK(fleet.runs_of(id) == (answer.status == 200 ? 1 : 0));
        served += answer.status == 200 ? 1 : 0;
    }
    CHECK(served > 10);
}

TEST_CASE("corrupted responses are not forwarded", "[sidecar]") {
    SidecarFleet fleet(next_base_port(), chain());
    REQUIRE(fleet.start(chain_configuration(1)));
    // Affects both servers of the service: with one good and one bad server, the bad one would soon be
    // avoided.
    const auto set_faults = [&](const lab::PlatformServerFaults& faults) {
        fleet.machine(2).server->faults = faults;
        fleet.machine(3).server->faults = faults;
    };
    lab::PlatformServerFaults unsigned_answers;
    unsigned_answers.forgets_signature = true;
    set_faults(unsigned_answers);
    CHECK(send_many(fleet, {"GET", "back.example", "/back/", "unsigned"}, 20)[502] == 20);
    lab::PlatformServerFaults answers_of_others;
    answers_of_others.answers_another = true;
    set_faults(answers_of_others);
    CHECK(send_many(fleet, {"GET", "back.example", "/back/", "mixed"}, 20)[502] == 20);
    set_faults({});
    const auto answer = fleet.send(0, {"GET", "back.example", "/back/", "good"});
    CHECK(answer.status == 200);
    CHECK(answer.fields.find("Request-Id") == "good");
    CHECK(answer.fields.find("Server-Signature"));
}

TEST_CASE("repeatable requests avoid a server that does not respond", "[sidecar]") {
    SidecarFleet fleet(next_base_port(), chain());
    REQUIRE(fleet.start(chain_configuration(1)));
    fleet.pause(seconds(2));
    fleet.machine(3).server->faults.hangs = true;
    auto statuses = send_many(fleet, {"GET", "back.example", "/back/", "hang", milliseconds(1'500)}, 20);
    CHECK(statuses[200] >= 15);
}

TEST_CASE("a draining server gets no request after the acknowledgement", "[sidecar]") {
    SidecarFleet fleet(next_base_port(), chain());
    REQUIRE(fleet.start(chain_configuration(1)));
    REQUIRE(fleet.machine(2).server->drain());
    const auto before = fleet.machine(2).server->arrivals();
    CHECK(send_many(fleet, {"GET", "back.example", "/back/", "drained"}, 40)[200] == 40);
    CHECK(fleet.machine(2).server->arrivals() == before);
}

TEST_CASE("a new configuration is applied everywhere, and an older one is never applied again", "[sidecar]") {
    SidecarFleet fleet(next_base_port(), chain());
    REQUIRE(fleet.start(configuration_text(5, {"front", "back", "pay"}, {})));
    fleet.configure(configuration_text(9, {"back", "front"}, {}));
    const auto dropped = [&] {
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            if (fleet.send(index, {"GET", "pay.example", "/pay/", "dropped"}).status != 404) {
                return false;
            }
        }
        return true;
    };
    CHECK(fleet.eventually(seconds(2), dropped));
    fleet.configure(configuration_text(7, {"front", "back", "pay"}, {}));
    fleet.store().forget_history();
    fleet.pause(milliseconds(500));
    CHECK(dropped());
    fleet.configure(configuration_text(12, {"front", "back", "pay"}, {}));
    CHECK(fleet.eventually(seconds(3), [&] {
        return fleet.send(0, {"GET", "pay.example", "/pay/", "again"}).status == 200;
    }));
}

TEST_CASE("calls continue while the store is down, and a restarted sidecar gets its state from peers",
          "[sidecar]") {
    SidecarFleet fleet(next_base_port(), chain());
    REQUIRE(fleet.start(chain_configuration(3)));
    fleet.store().faults.refuses = true;
    fleet.kill(0);
    CHECK(send_many(fleet, {"GET", "back.example", "/back/", "before"}, 1)[200] == 0);
    fleet.start_sidecar(0);
    CHECK(fleet.eventually(seconds(10), [&] { return fleet.is_ready(0); }));
    CHECK(fleet.eventually(seconds(5), [&] {
        return fleet.send(0, {"GET", "front.example", "/front/", "after"}).status == 200;
    }));
    // Log lines are written in batches, with a delay.
    CHECK(fleet.eventually(seconds(2),
                           [&] { return fleet.log_of(0).find("\"from\":\"peer\"") != std::string::npos; }));
}

TEST_CASE("after all sidecars were killed, requests are served before the next heartbeats", "[sidecar]") {
    auto plans = chain();
    for (auto& plan : plans) {
        plan.heartbeat_interval = milliseconds(8'000);
    }
    SidecarFleet fleet(next_base_port(), plans);
    REQUIRE(fleet.start(chain_configuration(1)));
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        fleet.kill(index);
    }
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        fleet.start_sidecar(index);
    }
    const auto all_ready = [&] {
        bool all = true;
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            all = all && fleet.is_ready(index);
        }
        return all;
    };
    REQUIRE(fleet.eventually(seconds(3), all_ready));
    CHECK(send_many(fleet, {"GET", "front.example", "/front/", "found"}, 30)[200] == 30);
}

TEST_CASE("every sidecar registers, and a calm fleet does not load the store", "[sidecar]") {
    SidecarFleet fleet(next_base_port(), chain());
    REQUIRE(fleet.start(chain_configuration(1)));
    CHECK(fleet.store().keys_below("anisehold/members/") == fleet.size());
    // Watchers are appointed shortly after the start.
    fleet.pause(seconds(2));
    const auto full_before = full_calls(fleet);
    const auto stale_before = fleet.store().stale_reads();
    fleet.pause(seconds(3));
    // A calm fleet does not poll the store, except for the cheap listings of two watchers per zone, each of
    // two pages.
    CHECK(full_calls(fleet) - full_before <= 2);
    CHECK(fleet.store().stale_reads() - stale_before <= 4 * 3 * 2);
}

TEST_CASE("a new configuration reaches a zone by two watchers", "[sidecar]") {
    const std::vector<SidecarMachinePlan> one_zone(8, {"z1", "back", {}, 16, milliseconds(5)});
    SidecarFleet fleet(next_base_port(), one_zone);
    REQUIRE(fleet.start(configuration_text(1, {"back"}, {})));
    fleet.pause(seconds(2));
    const auto calls = full_calls(fleet);
    fleet.configure(configuration_text(2, {"back"}, {}));
    const auto knows = [&](std::size_t machine) {
        return fleet.log_of(machine).find("\"version\":\"2\"") != std::string::npos;
    };
    CHECK(fleet.eventually(seconds(3), [&] {
        bool all = true;
        for (std::size_t machine = 0; machine < fleet.size(); ++machine) {
            all = all && knows(machine);
        }
        return all;
    }));
    // One watch of each watcher ended and was opened again.
    CHECK(full_calls(fleet) - calls <= 4);
}

TEST_CASE("when both watchers of a zone are lost, another daemon takes over", "[sidecar]") {
    const std::vector<SidecarMachinePlan> one_zone(5, {"z1", "back", {}, 16, milliseconds(5)});
    SidecarFleet fleet(next_base_port(), one_zone);
    REQUIRE(fleet.start(configuration_text(1, {"back"}, {})));
    fleet.pause(seconds(2));
    unsigned lost = 0;
    std::size_t left = 0;
    for (std::size_t machine = 0; machine < fleet.size(); ++machine) {
        const bool watches = fleet.log_of(machine).find("\"role\":\"appointed\"") != std::string::npos;
        lost += watches ? 1 : 0;
        left = watches ? left : machine;
        if (watches) {
            fleet.kill(machine);
        }
    }
    REQUIRE(lost == 2);
    fleet.configure(configuration_text(2, {"back"}, {}));
    CHECK(fleet.eventually(
        seconds(9), [&] { return fleet.log_of(left).find("\"version\":\"2\"") != std::string::npos; }));
}

TEST_CASE("a planned stop loses no request and ends in time", "[sidecar]") {
    SidecarFleet fleet(next_base_port(), chain());
    REQUIRE(fleet.start(chain_configuration(1)));
    fleet.terminate(2);
    CHECK(fleet.eventually(seconds(1), [&] { return !fleet.is_ready(2); }));
    unsigned whole = 0;
    for (int request = 0; request < 60; ++request) {
        // Sent to the other machines, since a stopping machine gets no new clients.
        const std::size_t through = request % 2 == 0 ? 0 : 1;
        const auto id = "stop-" + std::to_string(request);
        whole += fleet.send(through, {"GET", "front.example", "/front/", id}).status == 200 ? 1 : 0;
        fleet.pause(milliseconds(30));
    }
    CHECK(whole == 60);
    CHECK(fleet.wait_for_exit(2, seconds(4)) == 0);
}

TEST_CASE("a request that arrives at the end of a stop is answered, or never runs", "[sidecar]") {
    SidecarFleet fleet(next_base_port(), {{"z1", "back", {}, 64, milliseconds(60)}, {"z1", "other", {}}});
    REQUIRE(fleet.start(configuration_text(1, {"back", "other"}, {})));
    fleet.terminate(1);
    constexpr int clients = 16;
    int ended = 0;
    unsigned answered = 0;
    unsigned lost = 0;
    for (int client = 0; client < clients; ++client) {
        net::EventLoop::spawn([&, client] {
            bool served = true;
            for (int number = 0; served; ++number) {
                const auto id = "last-" + std::to_string(client) + "-" + std::to_string(number);
                served = fleet.send(1, {"GET", "back.example", "/back/", id}).status != 0;
                answered += served ? 1 : 0;
                lost += !served && fleet.runs_of(id) > 0 ? 1 : 0;
                // Callers that are refused one after the other leave idle moments.
                fleet.pause(milliseconds(17 * (client + 1)));
            }
            ++ended;
        });
    }
    CHECK(fleet.eventually(seconds(8), [&] { return ended == clients; }));
    CHECK(answered > 50);
    CHECK(lost == 0);
}

TEST_CASE("a full server is never given more than its slots", "[sidecar]") {
    SidecarFleet fleet(next_base_port(), {{"z1", "back", {}, 2, milliseconds(100)}, {"z1", "other", {}}});
    REQUIRE(fleet.start(configuration_text(1, {"back", "other"}, {})));
    constexpr int clients = 12;
    constexpr int max_attempts = 20;
    int served = 0;
    int ended = 0;
    unsigned refused_and_run = 0;
    for (int client = 0; client < clients; ++client) {
        net::EventLoop::spawn([&, client] {
            ClientAnswer answer;
            for (int number = 0; number < max_attempts && answer.status != 200; ++number) {
                const auto id = "full-" + std::to_string(client) + "-" + std::to_string(number);
                answer = fleet.send(static_cast<std::size_t>(client) % 2,
                                    {"GET", "back.example", "/back/", id, milliseconds(2'000)});
                if (answer.status == 503) {
                    refused_and_run += fleet.runs_of(id);
                    const auto told = answer.fields.find("Retry-After").value_or("1");
                    fleet.pause(milliseconds(static_cast<int>(1'000 * std::stod(std::string(told)))));
                }
            }
            served += answer.status == 200 ? 1 : 0;
            ++ended;
        });
    }
    CHECK(fleet.eventually(seconds(20), [&] { return ended == clients; }));
    CHECK(fleet.machine(0).server->most_running() <= 2);
    // Requests that are refused for lack of slots are served when they are retried at the given time.
    CHECK(served == clients);
    CHECK(refused_and_run == 0);
}

TEST_CASE("bad input from clients, servers and peers gets a clear response or a closed connection",
          "[sidecar]") {
    SidecarFleet fleet(next_base_port(), chain());
    REQUIRE(fleet.start(chain_configuration(1)));
    const auto& calls = fleet.machine(0).calls;
    const auto port_after = [&](int offset) {
        return Endpoint{calls.ip, static_cast<std::uint16_t>(calls.port + offset)};
    };
    const std::string start = "POST /pay/ HTTP/1.1\r\nHost: pay.example\r\nRequest-Id: smuggle\r\n";
    const std::string smuggled = "GET /pay/ HTTP/1.1\r\nHost: pay.example\r\nRequest-Id: inner\r\n\r\n";
    CHECK(raw_exchange(calls, "NONSENSE\r\n\r\n").find("HTTP/1.1 400") == 0);
    CHECK(raw_exchange(calls, start + "X: " + std::string(20'000, 'x') + "\r\n\r\n").find("HTTP/1.1 431") ==
          0);
    CHECK(raw_exchange(calls, start + "Content-Length: 2000000\r\n\r\n").find("HTTP/1.1 413") == 0);
    CHECK(raw_exchange(calls,
                       start + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled)
              .find("HTTP/1.1 400") == 0);
    CHECK(raw_exchange(calls, start + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcde" + smuggled)
              .find("HTTP/1.1 400") == 0);
    CHECK(raw_exchange(calls, start + "Content-Length: 10\r\n\r\nabc", true).find("HTTP/1.1 2") ==
          std::string::npos);
    CHECK(fleet.runs_of("smuggle") == 0);
    CHECK(fleet.runs_of("inner") == 0);

    const auto hops = port_after(1);
    CHECK(raw_exchange(hops, "GET /pay/ HTTP/1.1\r\nHost: h\r\n\r\n").find("HTTP/1.1 404") == 0);
    CHECK(raw_exchange(hops, "GET /pay/ HTTP/1.1\r\nHost: h\r\nAnisehold-Hop: instance=;once=x\r\n\r\n")
              .find("HTTP/1.1 400") == 0);
    const auto control = port_after(2);
    CHECK(raw_exchange(control, "PUT /-/instances/i-9 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}")
              .find("HTTP/1.1 400") == 0);
    CHECK(raw_exchange(control, "GET /elsewhere HTTP/1.1\r\nHost: h\r\n\r\n").find("HTTP/1.1 404") == 0);
    send_datagram(port_after(4), "A" + std::string(2'000, '\xff'));
    send_datagram(port_after(4), "");
    CHECK(fleet.send(0, {"GET", "front.example", "/front/", "still-served"}).status == 200);
}

TEST_CASE("a request whose caller left before a slow daemon read it never reaches a server", "[sidecar]") {
    SidecarFleet fleet(next_base_port(), chain());
    REQUIRE(fleet.start(chain_configuration(1)));
    const auto& calls = fleet.machine(2).calls;
    const Endpoint hops{calls.ip, static_cast<std::uint16_t>(calls.port + 1)};
    const std::string hop = "Anisehold-Hop: " +
                            hop::encode(hop::HopRequest{"i-2", "front", 1, milliseconds(5'000),
                                                        milliseconds(1'000), false, 0, "back/1"}) +
                            "\r\n";
    const auto request = [](const std::string& id, const std::string& more) {
        return "GET /back/ HTTP/1.1\r\nHost: back.example\r\nRequest-Id: " + id +
               "\r\nDeadline-Milliseconds: 5000\r\n" + more + "\r\n";
    };
    // The requests and the ends of their connections wait in the sockets of a paused daemon.
    fleet.freeze(2);
    raw_exchange(hops, request("left-the-gate", hop));
    raw_exchange(calls, request("left-the-ingress", ""));
    fleet.thaw(2);
    REQUIRE(fleet.eventually(seconds(3), [&] { return fleet.is_ready(2); }));
    fleet.pause(milliseconds(500));
    CHECK(fleet.runs_of("left-the-gate") == 0);
    CHECK(fleet.runs_of("left-the-ingress") == 0);
    // The same requests are run if the caller stays connected.
    auto exchange =
        std::async(std::launch::async, [&] { return raw_exchange(hops, request("stays", hop), true); });
    CHECK(fleet.eventually(seconds(3), [&] { return fleet.runs_of("stays") == 1; }));
    exchange.wait();
}

TEST_CASE("pipelined requests are answered in order", "[sidecar]") {
    SidecarFleet fleet(next_base_port(), chain());
    REQUIRE(fleet.start(chain_configuration(1)));
    const auto request = [](const std::string& service, const std::string& id) {
        return "GET /" + service + "/" + id + " HTTP/1.1\r\nHost: " + service +
               ".example\r\nRequest-Id: " + id + "\r\nDeadline-Milliseconds: 2000\r\n\r\n";
    };
    // The first of the three requests takes longest, since it makes nested calls.
    const std::string bytes = request("front", "p1") + request("back", "p2") + request("back", "p3");
    auto exchange =
        std::async(std::launch::async, [&] { return raw_exchange(fleet.machine(0).calls, bytes, true); });
    REQUIRE(fleet.eventually(seconds(10), [&] {
        return exchange.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
    }));
    const auto answers = exchange.get();
    const auto first = answers.find("front /front/p1");
    const auto second = answers.find("back /back/p2");
    const auto third = answers.find("back /back/p3");
    REQUIRE(third != std::string::npos);
    CHECK(first < second);
    CHECK(second < third);
}

TEST_CASE("a sidecar without a configuration refuses and is not ready", "[sidecar]") {
    SidecarFleet fleet(next_base_port(), {{"z1", "back", {}}});
    REQUIRE(fleet.launch("{\"version\":\"broken\"}"));
    CHECK(fleet.eventually(seconds(5), [&] {
        return fleet.send(0, {"GET", "back.example", "/back/", "early"}).status == 503;
    }));
    CHECK_FALSE(fleet.is_ready(0));
    CHECK(fleet.eventually(
        seconds(2), [&] { return fleet.log_of(0).find("configuration-rejected") != std::string::npos; }));
}
