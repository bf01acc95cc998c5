/// @file
/// A small response stored for a caller that repeats its idempotency key because the first response was lost.
#pragma once

#include <string>
#include <vector>

#include "protocol/serialize_all.hpp"

namespace anisehold {

/// One header field of a stored response.
struct StoredField {
    std::string name;
    std::string value;

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, name, value);
    }
};

/// The complete response of a completed call.
struct StoredAnswer {
    unsigned status = 0;
    std::vector<StoredField> fields;
    std::string body;

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, status, fields, body);
    }
};

}  // namespace anisehold
