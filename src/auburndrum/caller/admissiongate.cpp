#include "auburndrum/caller/admissiongate.h"

#include "auburndrum/caller/directory.h"

#include <vector>

namespace auburndrum::caller {

namespace {

constexpr std::chrono::milliseconds ExpiredRetryAfter{1000};

} // namespace

AdmissionTicket::AdmissionTicket(AdmissionGate &gate, std::string service, std::string organisation, std::chrono::nanoseconds allowedWait, Instant admitted)
    : m_gate(gate)
    , m_service(std::move(service))
    , m_organisation(std::move(organisation))
    , m_allowedWait(allowedWait)
    , m_admitted(admitted)
{
}

AdmissionTicket::~AdmissionTicket()
{
    if (m_isReturned) {
        return;
    }
    if (m_isCounted) {
        m_gate.m_serviceQueues.at(m_service).limit.release();
    }
    m_gate.onFinished(m_service, m_organisation, monotonicNow());
}

void AdmissionTicket::onFirstOutput(Instant now)
{
    if (!std::exchange(m_isCounted, false)) {
        return;
    }
    m_gate.m_serviceQueues.at(m_service).limit.onFirstToken(now - m_admitted, m_allowedWait, now);
    m_gate.admitWaiting(m_service, now);
}

void AdmissionTicket::onOverloaded(Instant now)
{
    if (std::exchange(m_isCounted, false)) {
        m_gate.m_serviceQueues.at(m_service).limit.onOverloaded(now);
    }
}

AdmissionGate::ServiceQueue &AdmissionGate::serviceQueue(const decision::ServiceDocument &service, const std::string &organisation)
{
    const decision::FairQueueOptions options{.maxWaiting = service.queueLimit};
    ServiceQueue &it = m_serviceQueues.try_emplace(service.name, options).first->second;
    // Updates only the requesting organisation's grant: a service may have thousands of organisations.
    if (const decision::OrganisationGrant *grant = grantOf(service, organisation)) {
        it.queue.setGrant(organisation, {grant->share, grant->maxConcurrent, grant->priority});
    }
    return it;
}

std::optional<std::uint64_t> AdmissionGate::enter(const decision::ServiceDocument &service, const AdmissionRequest &request, AdmissionHooks hooks, Instant now)
{
    ServiceQueue &it = serviceQueue(service, request.organisation);
    const std::uint64_t number = ++m_lastNumber;
    it.waiting[number] = {std::move(hooks), request.allowedWait};
    const auto pushed = it.queue.push({number, request.organisation, request.cost, request.deadline}, now);
    if (pushed.displacedId) {
        refuse(it, *pushed.displacedId, pushed.retryAfter);
    }
    if (!pushed.queued) {
        refuse(it, number, pushed.retryAfter);
        return std::nullopt;
    }
    admitWaiting(service.name, now);
    return it.waiting.contains(number) ? std::optional(number) : std::nullopt;
}

void AdmissionGate::cancel(const std::string &service, const std::string &organisation, std::uint64_t number)
{
    const auto it = m_serviceQueues.find(service);
    if (it == m_serviceQueues.end() || it->second.waiting.erase(number) == 0) {
        return;
    }
    it->second.queue.cancel(organisation, number);
}

void AdmissionGate::refuse(ServiceQueue &queue, std::uint64_t number, std::chrono::milliseconds retryAfter)
{
    const auto it = queue.waiting.find(number);
    if (it == queue.waiting.end()) {
        return;
    }
    const AdmissionHooks hooks = std::move(it->second.hooks);
    queue.waiting.erase(it);
    hooks.onRefused(retryAfter);
}

void AdmissionGate::admitWaiting(const std::string &service, Instant now)
{
    ServiceQueue &it = m_serviceQueues.at(service);
    while (!m_isClosed && it.limit.hasCapacity()) {
        const auto next = it.queue.pop(now);
        if (!next) {
            return;
        }
        const auto waiting = it.waiting.find(next->id);
        if (waiting == it.waiting.end()) {
            it.queue.onFinished(next->organisation);
            continue;
        }
        if (!admit(it, service, *next, now)) {
            return; // no server has free capacity; retried when a request finishes or at the next expire()
        }
    }
}

bool AdmissionGate::admit(ServiceQueue &queue, const std::string &service, const decision::WaitingRequest &request, Instant now)
{
    const auto waiting = queue.waiting.find(request.id);
    const Waiting admitted = std::move(waiting->second);
    queue.waiting.erase(waiting);
    queue.limit.onSent();
    auto ticket = std::make_unique<AdmissionTicket>(*this, service, request.organisation, admitted.allowedWait, now);
    if (admitted.hooks.onAdmitted(ticket)) {
        return true;
    }
    ticket->m_isReturned = true;
    queue.limit.release();
    queue.queue.putBack(request);
    queue.waiting[request.id] = admitted;
    return false;
}

void AdmissionGate::onFinished(const std::string &service, const std::string &organisation, Instant now)
{
    m_serviceQueues.at(service).queue.onFinished(organisation);
    admitWaiting(service, now);
}

void AdmissionGate::expire(Instant now)
{
    for (auto &[service, it] : m_serviceQueues) {
        for (const decision::WaitingRequest &request : it.queue.removeExpired(now)) {
            refuse(it, request.id, ExpiredRetryAfter);
        }
        admitWaiting(service, now);
    }
}

void AdmissionGate::close()
{
    m_isClosed = true;
}

std::size_t AdmissionGate::waitingCount() const
{
    std::size_t n = 0;
    for (const auto &[service, it] : m_serviceQueues) {
        n += it.waiting.size();
    }
    return n;
}

} // namespace auburndrum::caller
