#include "observability/bounded_output.hpp"

#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace anisehold::observability {
namespace {

/// A pipe reported writable by poll accepts at least this many bytes without blocking (PIPE_BUF on Linux).
constexpr std::size_t kSafeWriteBytes = 4096;

bool is_writable(int descriptor) {
    pollfd entry{descriptor, POLLOUT, 0};
    return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

BoundedOutput::~BoundedOutput() {
    destructorImpl();
}

void BoundedOutput::append(const log4cplus::spi::InternalLoggingEvent& event) {
    const auto& line = event.getMessage();
    if (buffer_.size() + line.size() + 1 > kMaxBufferedBytes) {
        ++dropped_lines_;
        return;
    }
    const bool was_empty = buffer_.empty();
    if (dropped_lines_ > 0) {
        buffer_ += "{\"name\":\"log-lines-dropped\",\"count\":\"" + std::to_string(dropped_lines_) + "\"}\n";
        dropped_lines_ = 0;
    }
    buffer_ += line;
    buffer_ += '\n';
    if (!schedule_) {
        flush();
    } else if (was_empty) {
        schedule_();
    }
}

void BoundedOutput::flush() {
    std::size_t written = 0;
    bool taking = true;
    while (taking && written < buffer_.size() && is_writable(descriptor_)) {
        const auto size = std::min(kSafeWriteBytes, buffer_.size() - written);
        const auto count = ::write(descriptor_, buffer_.data() + written, size);
        taking = count > 0;
        written += taking ? static_cast<std::size_t>(count) : 0;
    }
    buffer_.erase(0, written);
    if (!buffer_.empty() && schedule_) {
        schedule_();
    }
}

void BoundedOutput::close() {
    flush();
    closed = true;
}

}  // namespace anisehold::observability
