#include "auburndrum/base/settings.h"

#include "auburndrum/base/apikey.h"
#include "auburndrum/base/settingtable.h"

#include <doctest/doctest.h>

#include <absl/flags/reflection.h>

#include <array>
#include <fstream>
#include <map>
#include <sstream>

using namespace auburndrum;

namespace {

using Values = std::map<std::string, std::string, std::less<>>;

SettingLookup lookupIn(Values values)
{
    return [values = std::move(values)](std::string_view name) -> std::optional<std::string> {
        const auto it = values.find(name);
        if (it == values.end()) {
            return std::nullopt;
        }
        return it->second;
    };
}

const Values Identity{{"name", "a1"}, {"zone", "a"}, {"region", "uusimaa"}, {"listen", "127.0.0.1:8080"}, {"platform", "127.0.0.9:7000"}};

Values withIdentity(const Values &more)
{
    Values values = more;
    values.insert(Identity.begin(), Identity.end());
    return values;
}

std::vector<SettingError> errorsOf(const Values &flags)
{
    const auto settings = readSettings(lookupIn(flags), lookupIn({}));
    return settings.has_value() ? std::vector<SettingError>{} : settings.error();
}

} // namespace

TEST_CASE("settings take defaults from the table")
{
    const auto settings = readSettings(lookupIn(Identity), lookupIn({}));
    REQUIRE(settings.has_value());
    CHECK(settings.value().listen == SocketAddress{"127.0.0.1", 8080});
    CHECK(settings.value().requestTimeout == std::chrono::minutes(10));
    CHECK(settings.value().logLevel == LogLevel::Info);
    CHECK(settings.value().peers.empty());
}

TEST_CASE("a flag takes precedence over the environment")
{
    const auto settings = readSettings(lookupIn(withIdentity({{"zone", "flag"}})), lookupIn({{"zone", "environment"}, {"log_level", "debug"}}));
    REQUIRE(settings.has_value());
    CHECK(settings.value().zone == "flag");
    CHECK(settings.value().logLevel == LogLevel::Debug);
}

TEST_CASE("all errors are reported at once, with the given and the allowed values")
{
    const auto errors
        = errorsOf({{"name", "a 1"}, {"zone", "a"}, {"region", "r"}, {"listen", "localhost:80"}, {"max_body_bytes", "12"}, {"request_timeout", "soon"}});
    REQUIRE(errors.size() == 5);
    CHECK(toText(errors[0]) == "name: given \"a 1\", allowed: 1 to 64 letters, digits, '-', '_' or '.'");
    CHECK(errors[1].name == "listen");
    CHECK(errors[2] == SettingError{"platform", "", "required: IP:PORT, such as 127.0.0.1:8080 or [::1]:8080"});
    CHECK(toText(errors[3]) == "max_body_bytes: given \"12\", allowed: 1024 to 268435456");
    CHECK(errors[4] == SettingError{"request_timeout", "soon", "allowed: 100ms to 1h"});
}

TEST_CASE("bounds of a range are inclusive")
{
    CHECK(errorsOf(withIdentity({{"max_connections", "1"}})).empty());
    CHECK(errorsOf(withIdentity({{"max_connections", "100000"}})).empty());
    CHECK(errorsOf(withIdentity({{"max_connections", "0"}})).size() == 1);
    CHECK(errorsOf(withIdentity({{"max_connections", "100001"}})).size() == 1);
    CHECK(errorsOf(withIdentity({{"max_connections", "-1"}})).size() == 1);
}

TEST_CASE("an error never contains a secret")
{
    const auto errors = errorsOf(withIdentity({{"fleet_secret", "hunter2"}, {"administrator_key_hash", "swordfish"}}));
    REQUIRE(errors.size() == 2);
    for (const SettingError &it : errors) {
        CHECK(toText(it).find("hunter2") == std::string::npos);
        CHECK(toText(it).find("swordfish") == std::string::npos);
    }
}

TEST_CASE("constraints between settings are checked")
{
    const auto errors = errorsOf(withIdentity({{"drain_limit", "1s"}, {"balancer_lag", "2s"}, {"listen", "10.0.0.1:80"}}));
    REQUIRE(errors.size() == 2);
    CHECK(errors[0].name == "drain_limit");
    CHECK(errors[1].name == "fleet_secret");
    CHECK(errorsOf(withIdentity({{"listen", "10.0.0.1:80"}, {"fleet_secret", "0123456789abcdef"}})).empty());
}

TEST_CASE("every setting of the table has a flag and a documented default that is allowed")
{
    std::array<char, 2> program{'x', '\0'};
    std::array<char *, 2> arguments{program.data(), nullptr};
    parseCommandLine(1, arguments.data());
    for (const SettingRow &it : settingTable()) {
        CAPTURE(it.name);
        REQUIRE(absl::FindCommandLineFlag(it.name) != nullptr);
        CHECK(absl::FindCommandLineFlag(it.name)->Help() == settingHelp(it.name));
        Settings settings;
        CHECK((it.required || !it.assign(it.defaultText, settings)));
    }
}

TEST_CASE("docs/SETTINGS.md matches the table")
{
    std::ifstream file(AUBURNDRUM_SOURCE_DIR "/docs/SETTINGS.md");
    std::stringstream page;
    page << file.rdbuf();
    CHECK(page.str() == settingsPage());
}

TEST_CASE("an API key matches only its own hash")
{
    const std::string hash = hashApiKey("key of a team");
    CHECK(isApiKeyHash(hash));
    CHECK(hash != hashApiKey("key of a team"));
    CHECK(matchesApiKey("key of a team", hash));
    CHECK_FALSE(matchesApiKey("key of a tean", hash));
    CHECK_FALSE(matchesApiKey("", hash));
    CHECK_FALSE(matchesApiKey("key of a team", hash.substr(0, hash.size() - 1)));
    CHECK(hashApiKey("00", "abc") == "00:945e7ca29aa6488ed10982b339d302e8c0da48fb947f14cfc022c85361b16aec");
}
