#include "sidecar/completion_forecast.hpp"

#include <utility>

#include "sidecar/sidecar_context.hpp"

namespace anisehold::sidecar {

/// Records a request as completed when the end of its body is read.
class CompletionForecast::TimedBodyReader final : public net::BodyReader {
  public:
    TimedBodyReader(std::unique_ptr<net::BodyReader> body, stopping::CompletionTimes& times, std::string row,
                    TimePoint began)
        : body_(std::move(body)), times_(times), row_(std::move(row)), began_(began) {}

    std::size_t read(char* data, std::size_t size, std::error_code& error) override {
        const auto count = body_->read(data, size, error);
        if (count == 0 && !error) {
            const auto now = TimePoint::clock::now();
            stopping::recordCompleted(times_, now, row_, now - began_);
        }
        return count;
    }

  private:
    std::unique_ptr<net::BodyReader> body_;
    stopping::CompletionTimes& times_;
    std::string row_;
    TimePoint began_;
};

bool CompletionForecast::can_complete(TimePoint now, const stopping::BeginningRequest& request) const {
    const auto& times = stop_.times();
    return !times || stopping::canComplete(times_, now, request, *times);
}

void CompletionForecast::on_response(const std::string& row, TimePoint began, net::HttpResponse& response) {
    // Failures may be faster than any work.
    if (net::is_server_error(response.status)) {
        return;
    }
    if (response.body.whole()) {
        const auto now = TimePoint::clock::now();
        stopping::recordCompleted(times_, now, row, now - began);
        return;
    }
    response.body.rest = std::make_unique<TimedBodyReader>(std::move(response.body.rest), times_, row, began);
}

}  // namespace anisehold::sidecar
