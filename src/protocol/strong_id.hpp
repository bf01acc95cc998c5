/// @file
/// Strongly typed ids and counts. Pure.
#pragma once

#include <functional>
#include <string>
#include <utility>

namespace anisehold {

/// A value of type `T` that is only compatible with values of the same `Tag`. Compare, order, hash and print
/// by `value`; there is no conversion between tags.
template <typename Tag, typename T>
struct Strong {
    T value{};

    Strong() = default;
    explicit Strong(T given) : value(std::move(given)) {}

    bool operator==(const Strong&) const = default;
    bool operator<(const Strong& other) const { return value < other.value; }
};

}  // namespace anisehold

template <typename Tag, typename T>
struct std::hash<anisehold::Strong<Tag, T>> {
    std::size_t operator()(const anisehold::Strong<Tag, T>& id) const { return std::hash<T>{}(id.value); }
};
