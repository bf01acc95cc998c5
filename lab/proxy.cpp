#include <utility>
// <utility> must precede the Asio headers: Asio of Boost 1.74 needs std::exchange under C++20.
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>

#include "lab/control.hpp"
#include "lab/proxy.hpp"
#include "net/await_io.hpp"
#include "net/event_loop.hpp"
#include "net/listen.hpp"
#include "protocol/call_context.hpp"

namespace anisehold::lab {
namespace {

using Tcp = boost::asio::ip::tcp;
constexpr std::size_t kChunkBytes = 16 * 1024;
constexpr milliseconds kFrozenPoll{5};

struct Link {
    explicit Link(Tcp::socket client, boost::asio::io_context& io) : client(std::move(client)), server(io) {}

    void close() {
        boost::system::error_code ignored;
        client.close(ignored);
        server.close(ignored);
    }

    Tcp::socket client;
    Tcp::socket server;
    long long bytes_to_client = 0;
    std::string late_copy;  ///< The last response if it was a refusal. Relies on responses in one piece.
};

/// Whether these bytes are the response of a server that has refused to run the request.
bool is_refusal(std::string_view bytes) {
    return bytes.starts_with("HTTP/1.1 503") && bytes.find(header::kNotRun) != std::string_view::npos;
}

}  // namespace

struct Proxy::State : std::enable_shared_from_this<Proxy::State> {
    State(boost::asio::io_context& io, Endpoint target) : io(io), acceptor(io), target(std::move(target)) {}

    void accept_all() {
        while (acceptor.is_open()) {
            Tcp::socket socket(io);
            const auto result =
                net::await_io([&](auto handler) { acceptor.async_accept(socket, std::move(handler)); });
            if (result.error || faults.cut) {
                continue;
            }
            auto link = std::make_shared<Link>(std::move(socket), io);
            links.push_back(link);
            net::EventLoop::spawn([self = shared_from_this(), link] { self->open(link); });
        }
    }

    void open(const std::shared_ptr<Link>& link) {
        const auto address = boost::asio::ip::make_address(target.ip);
        const auto result = net::await_io([&](auto handler) {
            link->server.async_connect(Tcp::endpoint(address, target.port), std::move(handler));
        });
        if (result.error) {
            link->close();
            return;
        }
        boost::system::error_code ignored;
        link->client.set_option(Tcp::no_delay(true), ignored);
        link->server.set_option(Tcp::no_delay(true), ignored);
        net::EventLoop::spawn(
            [self = shared_from_this(), link] { self->pump(*link, link->client, link->server, false); });
        pump(*link, link->server, link->client, true);
        links.remove(link);
    }

    void pump(Link& link, Tcp::socket& from, Tcp::socket& to, bool to_client) {
        std::array<char, kChunkBytes> chunk;
        while (true) {
            auto result = net::await_io(
                [&](auto handler) { from.async_read_some(boost::asio::buffer(chunk), std::move(handler)); });
            while (faults.frozen) {
                boost::this_fiber::sleep_for(kFrozenPoll);
            }
            if (result.error) {
                break;
            }
            if (faults.delay_ms > 0) {
                boost::this_fiber::sleep_for(milliseconds(faults.delay_ms));
            }
            std::size_t count = result.bytes;
            bool cut_now = false;
            if (to_client && faults.cut_after_bytes >= 0) {
                const auto remaining = std::max(0LL, faults.cut_after_bytes - link.bytes_to_client);
                cut_now = static_cast<long long>(count) >= remaining;
                count = std::min(count, static_cast<std::size_t>(remaining));
                link.bytes_to_client += static_cast<long long>(count);
            }
            if (faults.repeat_refusals) {
                repeat_refusal(link, std::string_view(chunk.data(), count), to_client);
            }
            result = net::await_io([&](auto handler) {
                boost::asio::async_write(to, boost::asio::buffer(chunk.data(), count), std::move(handler));
            });
            if (result.error || cut_now) {
                break;
            }
        }
        link.close();
    }

    /// Keeps a copy of a refusal, and sends it when the next request of the connection passes.
    static void repeat_refusal(Link& link, std::string_view bytes, bool to_client) {
        const auto copy = std::exchange(link.late_copy, to_client && is_refusal(bytes) ? bytes : "");
        if (!to_client) {
            net::await_io([&](auto handler) {
                boost::asio::async_write(link.client, boost::asio::buffer(copy), std::move(handler));
            });
        }
    }

    void close_all() {
        for (const auto& link : links) {
            link->close();
        }
    }

    boost::asio::io_context& io;
    Tcp::acceptor acceptor;
    Endpoint target;
    LinkFaults faults;
    std::list<std::shared_ptr<Link>> links;
};

Proxy::Proxy(boost::asio::io_context& io, Endpoint target)
    : state_(std::make_shared<State>(io, std::move(target))),
      control_(io, {},
               {[this](net::HttpRequest& request, net::CancelSignal& /*cancel*/) { return handle(request); },
                [](ErrorKind) {
                    return json_answer(400, {{"error", "bad request"}});
                }}) {}

Proxy::~Proxy() = default;

std::error_code Proxy::start(const Endpoint& listen, const Endpoint& control) {
    if (const auto error = net::listen_on(state_->acceptor, listen)) {
        return error;
    }
    net::EventLoop::spawn([state = state_] { state->accept_all(); });
    return control_.start(control);
}

net::HttpResponse Proxy::handle(net::HttpRequest& request) {
    return apply_control(request, [this](const nlohmann::json& faults) {
        auto& state = state_->faults;
        state.cut = faults.value("cut", state.cut);
        state.frozen = faults.value("frozen", state.frozen);
        state.delay_ms = faults.value("delay_ms", state.delay_ms);
        state.cut_after_bytes = faults.value("cut_after_bytes", state.cut_after_bytes);
        state.repeat_refusals = faults.value("repeat_refusals", state.repeat_refusals);
        if (state.cut) {
            state_->close_all();
        }
    });
}

}  // namespace anisehold::lab
