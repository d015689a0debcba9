#pragma once

#include "fleet.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace review {

/// A backend server of a plain service. Each entry VM reaches it at an address of its own.
class Backend
{
public:
    /// @p onRun is called for each request that it runs.
    Backend(int number, int views, Store &store, std::function<void(const std::string &server, const Message &request)> onRun);

    /// Resets the connections of an entry VM and refuses its new ones.
    void cutFrom(int view);

private:
    std::optional<Answer> handle(const Message &request);
    void writeEntry(int beat);

    std::string m_id;
    Store &m_store;
    std::function<void(const std::string &, const Message &)> m_onRun;
    Address m_address;
    std::vector<std::unique_ptr<Server>> m_listeners;
};

/// A configuration with two routes: /order/ for unsafe requests and /status/ for safe ones.
std::string orderConfiguration();

/// Starts entry VMs, the first ones in zone-a and the rest in zone-b, each with a view of its own of the store.
std::vector<std::unique_ptr<EntryVm>> startEntryVms(int count, int inZoneA, Store &store, const std::string &folder);

} // namespace review
