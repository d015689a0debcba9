#include "standins/engine/answerformat.h"

#include "standins/engine/tokens.h"

namespace auburndrum::standins {

namespace {

nlohmann::json finishReason(const StreamRecord &record, std::uint32_t tokens)
{
    if (tokens < record.maxTokens) {
        return nullptr;
    }
    return "length";
}

} // namespace

QByteArray tokenEvent(const std::string &attempt, const StreamRecord &record, std::uint32_t index)
{
    const std::string text = tokenText(record.promptHash, index);
    nlohmann::json choice = {{"index", 0}, {"finish_reason", finishReason(record, index + 1)}};
    if (record.chat) {
        choice["delta"] = {{"content", text}};
    } else {
        choice["text"] = text;
    }
    const char *object = record.chat ? "chat.completion.chunk" : "text_completion";
    const nlohmann::json json = {{"id", attempt}, {"object", object}, {"choices", {choice}}};
    return "data: " + QByteArray::fromStdString(json.dump()) + "\n\n";
}

QByteArray doneEvent()
{
    return "data: [DONE]\n\n";
}

nlohmann::json wholeAnswer(const std::string &attempt, const StreamRecord &record)
{
    const std::string text = answerText(record.promptHash, record.emitted);
    nlohmann::json choice = {{"index", 0}, {"finish_reason", finishReason(record, record.emitted)}};
    if (record.chat) {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    const nlohmann::json usage = {{"prompt_tokens", record.promptTokens},
                                  {"completion_tokens", record.emitted},
                                  {"total_tokens", record.promptTokens + record.emitted},
                                  {"prompt_tokens_details", {{"cached_tokens", record.cachedTokens}}}};
    return {{"id", attempt}, {"object", record.chat ? "chat.completion" : "text_completion"}, {"choices", {choice}}, {"usage", usage}};
}

} // namespace auburndrum::standins
