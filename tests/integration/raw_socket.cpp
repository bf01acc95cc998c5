#include "tests/integration/raw_socket.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>

namespace anisehold::testing {
namespace {

sockaddr_in address_of(const Endpoint& server) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    inet_pton(AF_INET, server.ip.c_str(), &address.sin_addr);
    return address;
}

}  // namespace

std::string raw_exchange(const Endpoint& server, const std::string& bytes, bool stay_open) {
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    const auto address = address_of(server);
    const timeval silence{1, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &silence, sizeof(silence));
    std::string received;
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) {
        send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (!stay_open) {
            shutdown(descriptor, SHUT_WR);
        }
        std::array<char, 4096> chunk{};
        ssize_t count = recv(descriptor, chunk.data(), chunk.size(), 0);
        while (count > 0) {
            received.append(chunk.data(), static_cast<std::size_t>(count));
            count = recv(descriptor, chunk.data(), chunk.size(), 0);
        }
    }
    close(descriptor);
    return received;
}

void send_datagram(const Endpoint& server, const std::string& bytes) {
    const int descriptor = socket(AF_INET, SOCK_DGRAM, 0);
    const auto address = address_of(server);
    sendto(descriptor, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address));
    close(descriptor);
}

}  // namespace anisehold::testing
