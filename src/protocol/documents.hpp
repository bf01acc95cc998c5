/// @file
/// Small documents replicated to every table daemon: the table and the claim holder view. Owns only their
/// envelope; the store owns the documents, and `config` and `claims` parse their texts.
#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "protocol/serialize_all.hpp"

namespace anisehold {

enum class DocumentKind : std::uint8_t { kTable, kHolderView };

inline constexpr std::size_t kDocumentKinds = 2;

/// Revision of each document held by a daemon; 0 if it has none.
using DocumentRevisions = std::array<std::uint64_t, kDocumentKinds>;

/// A document at a revision of the store.
struct Document {
    DocumentKind kind = DocumentKind::kTable;
    std::uint64_t revision = 0;
    std::string text;

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, kind, revision, text);
    }
};

}  // namespace anisehold
