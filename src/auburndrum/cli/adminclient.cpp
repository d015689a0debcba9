#include "adminclient.h"

#include <QEventLoop>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>
#include <QUrlQuery>

#include <fmt/format.h>

#include <cstdlib>

namespace auburndrum::cli {

namespace {

QUrl urlOf(const std::string &server, const AdminCall &call)
{
    QUrl url(QString::fromStdString("http://" + server));
    url.setPath(QString::fromStdString("/admin/v1/" + call.path));
    QUrlQuery query;
    for (const auto &[name, value] : call.query) {
        query.addQueryItem(QString::fromStdString(name), QString::fromUtf8(QUrl::toPercentEncoding(QString::fromStdString(value))));
    }
    url.setQuery(query);
    return url;
}

} // namespace

AdminClient::AdminClient(std::string server, std::string key, std::chrono::milliseconds timeout)
    : m_server(std::move(server))
    , m_key(std::move(key))
    , m_timeout(timeout)
{
}

AdminAnswer AdminClient::call(const AdminCall &call) const
{
    QNetworkAccessManager manager;
    QNetworkRequest request(urlOf(m_server, call));
    request.setTransferTimeout(static_cast<int>(m_timeout.count()));
    request.setRawHeader("Authorization", QByteArray::fromStdString("Bearer " + m_key));
    request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    const char *user = std::getenv("USER");
    request.setRawHeader("X-Operator", user == nullptr ? QByteArray() : QByteArray(user));
    const std::unique_ptr<QNetworkReply> reply(
        manager.sendCustomRequest(request, QByteArray::fromStdString(call.method), QByteArray::fromStdString(call.body)));
    QEventLoop loop;
    QObject::connect(reply.get(), &QNetworkReply::finished, &loop, &QEventLoop::quit);
    if (!reply->isFinished()) {
        loop.exec();
    }
    AdminAnswer answer;
    answer.status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    answer.json = Json::parse(reply->readAll().toStdString(), nullptr, false);
    if (answer.status == 0) {
        answer.error = fmt::format("{}: {}", m_server, reply->errorString().toStdString());
    }
    return answer;
}

AdminClient AdminClient::forServer(const std::string &server) const
{
    return {server, m_key, m_timeout};
}

ExitCode exitCodeOf(const AdminAnswer &answer)
{
    switch (answer.status) {
    case 0:
        return ExitCode::Unreachable;
    case 200:
        return answer.json.is_discarded() ? ExitCode::Failed : ExitCode::Done;
    case 202:
        return ExitCode::Unknown;
    case 400:
        return ExitCode::Usage;
    case 401:
    case 403:
        return ExitCode::NotAllowed;
    case 404:
        return ExitCode::NotFound;
    case 409:
        return ExitCode::Superseded;
    default:
        return ExitCode::Failed;
    }
}

std::string errorText(const AdminAnswer &answer)
{
    if (answer.status == 0) {
        return answer.error;
    }
    if (answer.json.is_object() && answer.json.contains("faults")) {
        std::string text;
        for (const Json &it : answer.json["faults"]) {
            text += fmt::format("{}{}: {}", text.empty() ? "" : "\n", it.value("path", ""), it.value("reason", ""));
        }
        return text;
    }
    if (answer.json.is_object() && answer.json.contains("error") && answer.json["error"].is_object()) {
        return fmt::format("{} (status {})", answer.json["error"].value("message", ""), answer.status);
    }
    return fmt::format("status {}", answer.status);
}

} // namespace auburndrum::cli
