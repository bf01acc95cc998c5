#include "sidecar/configuration_holder.hpp"

#include "observability/events.hpp"

namespace anisehold::sidecar {

using observability::Event;
using observability::log_event;

OfferOutcome ConfigurationHolder::offer(const std::string& text, ConfigurationSource source) {
    auto reading = context_.dialect.read_configuration(text);
    const std::string from = source == ConfigurationSource::kStore ? "store" : "peer";
    if (!reading.configuration) {
        log_event(Event::kConfigurationRejected,
                  {{"from", from}, {"reason", reading.problem}, {"kept", std::to_string(version())}});
        return OfferOutcome::kRejected;
    }
    if (reading.configuration->version <= version()) {
        return OfferOutcome::kNotNewer;
    }
    log_event(Event::kConfigurationInForce,
              {{"version", std::to_string(reading.configuration->version)},
               {"before", std::to_string(version())},
               {"from", from},
               {"routes", std::to_string(reading.configuration->routes.size())},
               {"tenants", std::to_string(reading.configuration->keys.tenants.size())}});
    current_ = std::make_shared<const routing::Configuration>(std::move(*reading.configuration));
    text_ = text;
    if (listener_) {
        listener_(*current_, source);
    }
    return OfferOutcome::kTaken;
}

}  // namespace anisehold::sidecar
