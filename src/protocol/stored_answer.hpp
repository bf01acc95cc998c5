/// @file
/// A small answer kept for a caller that sends its key again because the first answer was lost.
#pragma once

#include <string>
#include <vector>

#include "protocol/serialize_all.hpp"

namespace anisehold {

/// One header line of a kept answer.
struct StoredField {
    std::string name;
    std::string value;

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, name, value);
    }
};

/// A whole answer of a completed call.
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
