#include "tests/support/client_crowd.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>
#include <vector>

namespace anisehold::testing {
namespace {

constexpr std::size_t kReadBytes = 64 * 1024;
/// Pause between the end of a connection and the client's next one.
constexpr milliseconds kReconnectPause{200};
constexpr int kPollMs = 20;

bool would_block(ssize_t count) {
    return count < 0 && (errno == EAGAIN || errno == EINTR || errno == EINPROGRESS);
}

sockaddr_in address_of(const Endpoint& server) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    inet_pton(AF_INET, server.ip.c_str(), &address.sin_addr);
    return address;
}

class CrowdClient {
  public:
    CrowdClient(const CrowdPlan& plan, CrowdResult& result) : plan_(plan), result_(result) {}
    ~CrowdClient() { close_connection(); }
    CrowdClient(CrowdClient&& other) noexcept
        : plan_(other.plan_), result_(other.result_), descriptor_(std::exchange(other.descriptor_, -1)) {}
    CrowdClient(const CrowdClient&) = delete;
    CrowdClient& operator=(const CrowdClient&) = delete;
    CrowdClient& operator=(CrowdClient&&) = delete;

    bool has_finished() const { return descriptor_ < 0 && plan_.rounds > 0 && rounds_ >= plan_.rounds; }

    void open_when_due(const sockaddr_in& address, TimePoint now) {
        if (descriptor_ >= 0 || has_finished() || now < next_open_) {
            return;
        }
        descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const auto started =
            connect(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
        if (started != 0 && !would_block(-1)) {
            close_connection();
            return;
        }
        ++rounds_;
        sent_ = 0;
        is_connected_ = false;
    }

    pollfd poll_entry() const {
        const auto reads = is_connected_ && plan_.reads ? POLLIN : 0;
        const auto writes = !is_connected_ || has_more_to_send() ? POLLOUT : 0;
        return {descriptor_, static_cast<short>(reads | writes), 0};
    }

    void step(short events) {
        if (descriptor_ < 0 || events == 0) {
            return;
        }
        if (!is_connected_ && (events & POLLOUT) != 0) {
            is_connected_ = true;
            ++result_.opened;
        }
        if ((events & POLLIN) != 0) {
            receive();
        }
        if (descriptor_ >= 0 && (events & POLLOUT) != 0 && has_more_to_send()) {
            send_some();
        }
        if (descriptor_ >= 0 && (events & (POLLERR | POLLHUP)) != 0) {
            close_connection();
        }
    }

  private:
    bool has_more_to_send() const { return sent_ < plan_.bytes.size() || !plan_.repeated.empty(); }

    void send_some() {
        const bool at_beginning = sent_ < plan_.bytes.size();
        const auto& source = at_beginning ? plan_.bytes : plan_.repeated;
        const auto offset = at_beginning ? sent_ : (sent_ - plan_.bytes.size()) % plan_.repeated.size();
        const auto count = send(descriptor_, source.data() + offset, source.size() - offset, MSG_NOSIGNAL);
        if (count > 0) {
            sent_ += static_cast<std::size_t>(count);
            result_.bytes_sent += static_cast<std::size_t>(count);
        } else if (!would_block(count)) {
            close_connection();
            return;
        }
        if (plan_.aborts && sent_ >= plan_.bytes.size()) {
            close_connection();
        }
    }

    void receive() {
        static std::array<char, kReadBytes> chunk;
        const auto count = recv(descriptor_, chunk.data(), chunk.size(), 0);
        if (count > 0) {
            result_.bytes_received += static_cast<std::size_t>(count);
        } else if (!would_block(count)) {
            close_connection();
        }
    }

    void close_connection() {
        if (descriptor_ >= 0) {
            close(descriptor_);
            descriptor_ = -1;
            next_open_ = TimePoint::clock::now() + kReconnectPause;
        }
    }

    const CrowdPlan& plan_;
    CrowdResult& result_;
    int descriptor_ = -1;
    bool is_connected_ = false;
    std::size_t sent_ = 0;
    std::size_t rounds_ = 0;
    TimePoint next_open_{};
};

}  // namespace

CrowdResult run_crowd(const Endpoint& server, const CrowdPlan& plan) {
    const auto address = address_of(server);
    const auto end = TimePoint::clock::now() + plan.duration;
    CrowdResult result;
    std::vector<CrowdClient> clients;
    clients.reserve(plan.connections);
    for (std::size_t n = 0; n < plan.connections; ++n) {
        clients.emplace_back(plan, result);
    }
    std::vector<pollfd> entries(plan.connections);
    const auto has_finished = [](const CrowdClient& client) { return client.has_finished(); };
    while (TimePoint::clock::now() < end && !std::all_of(clients.begin(), clients.end(), has_finished)) {
        for (std::size_t n = 0; n < clients.size(); ++n) {
            clients[n].open_when_due(address, TimePoint::clock::now());
            entries[n] = clients[n].poll_entry();
        }
        poll(entries.data(), entries.size(), kPollMs);
        for (std::size_t n = 0; n < clients.size(); ++n) {
            clients[n].step(entries[n].revents);
        }
    }
    return result;
}

}  // namespace anisehold::testing
