#pragma once

#include <QPointer>

#include <utility>

namespace auburndrum::gateway {

/// A callback that does nothing once its owner was deleted: stores and engines may answer later than that.
template<class Owner, class Function>
auto guarded(Owner *owner, Function function)
{
    return [owner = QPointer<Owner>(owner), function = std::move(function)](const auto &...results) {
        if (owner) {
            function(results...);
        }
    };
}

} // namespace auburndrum::gateway
