#include "tests/support/raw_client.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/fiber/operations.hpp>
#include <cerrno>
#include <future>
#include <thread>

namespace anisehold::testing {
namespace {

constexpr std::size_t kKeptBytes = 4'096;
constexpr std::size_t kKeptEnding = 16;
constexpr std::size_t kReadBytes = 64 * 1024;
constexpr milliseconds kPollInterval{2};

bool would_block(ssize_t count) {
    return count < 0 && (errno == EAGAIN || errno == EINTR);
}

int connect_to(const Endpoint& server) {
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    inet_pton(AF_INET, server.ip.c_str(), &address.sin_addr);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        close(descriptor);
        return -1;
    }
    fcntl(descriptor, F_SETFL, O_NONBLOCK);
    return descriptor;
}

class Exchange {
  public:
    Exchange(int descriptor, const RawRequest& request)
        : descriptor_(descriptor),
          pending_(request.bytes),
          repeated_(request.repeated),
          interval_(request.interval) {}

    /// Sends and receives what the socket allows.
    void step(int timeout_ms) {
        const bool sends = !pending_.empty();
        pollfd ready{descriptor_, static_cast<short>((receives_ ? POLLIN : 0) | (sends ? POLLOUT : 0)), 0};
        poll(&ready, 1, timeout_ms);
        if (receives_ && (ready.revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
            receive();
        }
        if (sends && (ready.revents & (POLLOUT | POLLHUP | POLLERR)) != 0) {
            send_pending();
        }
    }

    RawResponse response;

  private:
    void send_pending() {
        const auto count = send(descriptor_, pending_.data(), pending_.size(), MSG_NOSIGNAL);
        if (count > 0) {
            response.bytes_sent += static_cast<std::size_t>(count);
            pending_.erase(0, static_cast<std::size_t>(count));
        } else if (!would_block(count)) {
            response.closed = true;
        }
        if (pending_.empty()) {
            std::this_thread::sleep_for(interval_);
            pending_ = repeated_;
        }
    }

    void receive() {
        std::array<char, kReadBytes> chunk;
        const auto count = recv(descriptor_, chunk.data(), chunk.size(), 0);
        if (count > 0) {
            const auto size = static_cast<std::size_t>(count);
            response.bytes_received += size;
            response.beginning.append(chunk.data(), std::min(size, kKeptBytes - response.beginning.size()));
            response.ending.append(chunk.data(), size);
            response.ending.erase(0, response.ending.size() - std::min(response.ending.size(), kKeptEnding));
        } else if (!would_block(count)) {
            receives_ = false;
            response.closed = response.closed || count < 0 || repeated_.empty();
        }
    }

    const int descriptor_;
    std::string pending_;
    const std::string repeated_;
    const milliseconds interval_;
    bool receives_ = true;
};

RawResponse run_exchange(const Endpoint& server, const RawRequest& request) {
    const auto started = TimePoint::clock::now();
    const int descriptor = connect_to(server);
    if (descriptor < 0) {
        return {};
    }
    Exchange exchange(descriptor, request);
    const auto elapsed = [&] { return milliseconds(to_milliseconds(TimePoint::clock::now() - started)); };
    while (!exchange.response.closed && elapsed() < request.patience) {
        exchange.step(static_cast<int>((request.patience - elapsed()).count()));
    }
    close(descriptor);
    exchange.response.elapsed = elapsed();
    return exchange.response;
}

}  // namespace

RawResponse exchange_raw(const Endpoint& server, const RawRequest& request) {
    auto done = std::async(std::launch::async, [&] { return run_exchange(server, request); });
    while (done.wait_for(milliseconds(0)) != std::future_status::ready) {
        boost::this_fiber::sleep_for(kPollInterval);
    }
    return done.get();
}

}  // namespace anisehold::testing
