#include <ragwortrelay/platform/dynamodb.h>
#include <ragwortrelay/runtime/platformclient.h>

#include <curl/curl.h>

#include <atomic>
#include <map>
#include <pthread.h>
#include <thread>

namespace RagwortRelay::Runtime {

namespace {

constexpr long HttpOk = 200;
constexpr long HttpNotFound = 404;
constexpr std::size_t LargestAnswer = 64U << 20U; // bytes

/// One call to the platform that runs. Owned by the client's thread.
struct PlatformTransfer {
    Node::CallPlatform m_order;
    CURL *m_easy = nullptr;
    curl_slist *m_headers = nullptr;
    std::string m_body;
    std::string m_answer;

    PlatformTransfer() = default;
    PlatformTransfer(const PlatformTransfer &) = delete;
    PlatformTransfer &operator=(const PlatformTransfer &) = delete;

    ~PlatformTransfer()
    {
        curl_easy_cleanup(m_easy);
        curl_slist_free_all(m_headers);
    }
};

std::size_t onAnswer(char *data, std::size_t /*one*/, std::size_t size, void *context)
{
    auto *transfer = static_cast<PlatformTransfer *>(context);
    if (transfer->m_answer.size() + size > LargestAnswer) {
        return 0;
    }
    transfer->m_answer.append(data, size);
    return size;
}

Platform::Result decode(const Platform::Call &call, long status, const std::string &answer)
{
    if (std::holds_alternative<Platform::ListTargets>(call)) {
        return Platform::decodeTargets(status, answer);
    }
    if (std::holds_alternative<Platform::GetObject>(call)) {
        if (status == HttpNotFound) {
            return Platform::ObjectRead{};
        }
        return status == HttpOk ? Platform::Result(Platform::ObjectRead{answer}) : Platform::Unavailable{"object store answered " + std::to_string(status)};
    }
    if (std::holds_alternative<Platform::PutObject>(call)) {
        return status == HttpOk ? Platform::Result(Platform::Written{}) : Platform::Unavailable{"object store answered " + std::to_string(status)};
    }
    return Platform::decodeTableAnswer(call, status, answer);
}

}

class PlatformClient::Implementation
{
public:
    Implementation(const Settings::PlatformSettings &settings, DecisionRing &decisions)
        : m_settings(settings), m_decisions(decisions), m_multi(curl_multi_init()), m_orders(OrderCapacity, [this] { curl_multi_wakeup(m_multi); })
    {
    }

    ~Implementation()
    {
        stop();
        for (auto &[easy, transfer] : m_transfers) {
            curl_multi_remove_handle(m_multi, easy);
        }
        m_transfers.clear();
        curl_multi_cleanup(m_multi);
    }

    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    void start()
    {
        m_thread = std::thread([this] { run(); });
        pthread_setname_np(m_thread.native_handle(), "platform");
    }

    void stop()
    {
        m_stopping.store(true);
        curl_multi_wakeup(m_multi);
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    Ring<Node::CallPlatform> &orders()
    {
        return m_orders;
    }

private:
    static constexpr std::size_t OrderCapacity = 4096;

    void run()
    {
        constexpr int LongestWaitMilliseconds = 1000;
        while (!m_stopping.load()) {
            m_orders.drain([this](Node::CallPlatform &&order) { begin(std::move(order)); });
            int running = 0;
            curl_multi_perform(m_multi, &running);
            finishTransfers();
            curl_multi_poll(m_multi, nullptr, 0, LongestWaitMilliseconds, nullptr);
        }
    }

    void begin(Node::CallPlatform order)
    {
        auto transfer = std::make_unique<PlatformTransfer>();
        transfer->m_order = std::move(order);
        transfer->m_easy = curl_easy_init();
        CURL *easy = transfer->m_easy;
        setRequest(*transfer);
        const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.m_timeout);
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->m_headers);
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, onAnswer);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
        curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer.get());
        curl_multi_add_handle(m_multi, easy);
        m_transfers.emplace(easy, std::move(transfer));
    }

    void setRequest(PlatformTransfer &transfer) const
    {
        CURL *easy = transfer.m_easy;
        const Platform::Call &call = transfer.m_order.m_request;
        if (std::holds_alternative<Platform::ListTargets>(call)) {
            curl_easy_setopt(easy, CURLOPT_URL, m_settings.m_targetsUrl.c_str());
            return;
        }
        if (const auto *get = std::get_if<Platform::GetObject>(&call)) {
            curl_easy_setopt(easy, CURLOPT_URL, (m_settings.m_objectsUrl + '/' + get->m_name).c_str());
            return;
        }
        transfer.m_headers = curl_slist_append(transfer.m_headers, "Expect:");
        if (const auto *put = std::get_if<Platform::PutObject>(&call)) {
            transfer.m_body = put->m_content;
            curl_easy_setopt(easy, CURLOPT_URL, (m_settings.m_objectsUrl + '/' + put->m_name).c_str());
            curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, "PUT");
        } else {
            const Platform::TableRequest request = Platform::encodeTableCall(call, m_settings.m_tableName);
            transfer.m_body = request.m_body;
            transfer.m_headers = curl_slist_append(transfer.m_headers, ("X-Amz-Target: " + request.m_target).c_str());
            transfer.m_headers = curl_slist_append(transfer.m_headers, "Content-Type: application/x-amz-json-1.0");
            curl_easy_setopt(easy, CURLOPT_URL, m_settings.m_tableUrl.c_str());
        }
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(transfer.m_body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, transfer.m_body.data());
    }

    void finishTransfers()
    {
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            CURL *easy = message->easy_handle;
            const CURLcode code = message->data.result;
            const auto found = m_transfers.find(easy);
            const Node::CallPlatform &order = found->second->m_order;
            long status = 0;
            curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
            const Platform::Result result =
                code == CURLE_OK ? decode(order.m_request, status, found->second->m_answer) : Platform::Unavailable{curl_easy_strerror(code)};
            pushWaiting(m_decisions, Node::PlatformAnswered{order.m_call, result});
            curl_multi_remove_handle(m_multi, easy);
            m_transfers.erase(found);
        }
    }

    Settings::PlatformSettings m_settings;
    DecisionRing &m_decisions;
    CURLM *m_multi;
    std::map<CURL *, std::unique_ptr<PlatformTransfer>> m_transfers;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
    Ring<Node::CallPlatform> m_orders;
};

PlatformClient::PlatformClient(const Settings::PlatformSettings &settings, DecisionRing &decisions)
    : m_implementation(std::make_unique<Implementation>(settings, decisions))
{
}

PlatformClient::~PlatformClient() = default;

void PlatformClient::start()
{
    m_implementation->start();
}

void PlatformClient::stop()
{
    m_implementation->stop();
}

Ring<Node::CallPlatform> &PlatformClient::orders()
{
    return m_implementation->orders();
}

}
