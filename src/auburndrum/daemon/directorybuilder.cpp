#include "auburndrum/daemon/directorybuilder.h"
#include <nlohmann/json.hpp>
namespace auburndrum::daemon {
std::shared_ptr<const caller::Directory> DirectoryBuilder::build(const decision::ConfigFold &config)
{
    auto d = std::make_shared<caller::Directory>();
    for (const auto &[name, state] : config.documents()) {
        auto j = nlohmann::json::parse(state.body, nullptr, false);
        if (name.starts_with("organisation/")) {
            d->add(decision::OrganisationDocument{j["name"], j["keyHashes"].get<std::vector<std::string>>()});
            continue;
        }
        if (!name.starts_with("service/"))
            continue;
        decision::ServiceDocument s;
        s.name = j["name"];
        s.kind = j.value("kind", "") == "plain" ? decision::ServiceKind::Plain : decision::ServiceKind::Engine;
        s.weightVersion = j.value("weightVersion", "");
        s.repeatable = j.value("repeatable", true);
        for (auto &o : j["organisations"]) {
            decision::OrganisationGrant g;
            g.organisation = o;
            s.organisations.push_back(g);
        }
        d->add(s);
    }
    return d;
}
} // namespace auburndrum::daemon
