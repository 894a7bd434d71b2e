#include <ragwortrelay/runtime/backendclient.h>

#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <map>
#include <optional>
#include <pthread.h>
#include <strings.h>
#include <thread>
#include <vector>

namespace RagwortRelay::Runtime {

namespace {

using Dispatch::AttemptFailure;

constexpr std::uint16_t HttpServiceUnavailable = 503;
constexpr std::size_t LargestAnswerHeader = 16U << 10U; // bytes, of all headers together
constexpr const char *LoadHeader = "endpoint-load-metrics";
constexpr const char *OutcomeHeader = "Ragwortrelay-Outcome";

/// One attempt at a backend server. Owned by the client's thread.
struct Transfer {
    SendRequest m_order;
    CURL *m_easy = nullptr;
    curl_slist *m_requestHeaders = nullptr;
    DecisionRing *m_decisions = nullptr;
    const std::function<void(Node::AttemptId)> *m_onBytes = nullptr;
    Headers m_answerHeaders;
    std::string m_keptBody; ///< Of the answer to a request that isn't idempotent, up to LargestStoredAnswer.
    std::size_t m_answerHeaderSize = 0; ///< Bytes.
    std::string m_contentLength; ///< As the answer gave it.
    bool m_isHeadComplete = false; ///< What follows are trailers.
    bool m_sent = false;
    bool m_answered = false;
    bool m_paused = false;
    bool m_saysNotRun = false;
    std::optional<Node::LoadReport> m_load;

    Transfer() = default;
    Transfer(const Transfer &) = delete;
    Transfer &operator=(const Transfer &) = delete;

    ~Transfer()
    {
        curl_easy_cleanup(m_easy);
        curl_slist_free_all(m_requestHeaders);
    }
};

long millisecondsOf(Duration duration)
{
    return static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

/// Reads one metric of an ORCA load report in text form, or 0.
/// Source: Open Request Cost Aggregation, header `endpoint-load-metrics`.
double metricOf(const std::string &report, const std::string &name)
{
    const std::size_t start = report.find(name + '=');
    if (start == std::string::npos) {
        return 0.0;
    }
    double value = 0.0;
    std::from_chars(report.data() + start + name.size() + 1, report.data() + report.size(), value);
    return value;
}

Node::LoadReport loadReportFrom(const std::string &report)
{
    Node::LoadReport load;
    load.m_busySlots = static_cast<std::uint32_t>(std::clamp(metricOf(report, "named_metrics.busy"), 0.0, 1e6));
    load.m_draining = metricOf(report, "named_metrics.draining") > 0.0;
    return load;
}

/// Tells whether an answer's header speaks to the proxy and must not reach the caller.
bool isForTheProxy(const std::string &name)
{
    return sameName(name, "Content-Length") || sameName(name, LoadHeader) || sameName(name, OutcomeHeader);
}

void publishHead(Transfer &transfer)
{
    AnswerStream &stream = *transfer.m_order.m_stream;
    long status = 0;
    curl_off_t length = AnswerStream::LengthUnknown;
    curl_easy_getinfo(transfer.m_easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(transfer.m_easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
    stream.m_status = static_cast<std::uint16_t>(status);
    stream.m_contentLength = length;
    stream.m_headers = endToEndHeaders(transfer.m_answerHeaders);
    std::erase_if(stream.m_headers, [](const Header &header) { return isForTheProxy(header.m_name); });
}

/// Returns the answer as it may be replayed, unless it is too large. Precondition: the answer is whole, its head is published.
std::optional<Dispatch::StoredAnswer> storedAnswerOf(const Transfer &transfer)
{
    const AnswerStream &stream = *transfer.m_order.m_stream;
    Dispatch::StoredAnswer stored{stream.m_status, {}, transfer.m_keptBody};
    std::size_t size = stored.m_body.size();
    for (const Header &header : stream.m_headers) {
        size += header.m_name.size() + header.m_value.size();
        stored.m_headers.push_back({header.m_name, header.m_value});
    }
    if (transfer.m_order.m_idempotent || size > Dispatch::LargestStoredAnswer) {
        return std::nullopt;
    }
    return stored;
}

void reportAnswer(Transfer &transfer, bool whole)
{
    publishHead(transfer);
    transfer.m_answered = true;
    Node::AttemptAnswered event;
    event.m_attempt = transfer.m_order.m_attempt;
    event.m_status = transfer.m_order.m_stream->m_status;
    event.m_whole = whole;
    event.m_notRun = transfer.m_saysNotRun && event.m_status == HttpServiceUnavailable;
    event.m_load = transfer.m_load;
    event.m_stored = whole ? storedAnswerOf(transfer) : std::nullopt;
    pushWaiting(*transfer.m_decisions, event);
}

void wakeReader(const Transfer &transfer)
{
    if (transfer.m_order.m_stream->m_readerWaits.exchange(false)) {
        (*transfer.m_onBytes)(transfer.m_order.m_attempt);
    }
}

/// Tells whether the answer still has one length.
bool checkLength(Transfer &transfer, const std::string &name, const std::string &value)
{
    if (!sameName(name, "Content-Length")) {
        return true;
    }
    const bool isConsistent = transfer.m_contentLength.empty() || transfer.m_contentLength == value;
    transfer.m_contentLength = value;
    return isConsistent;
}

bool isFinalStatus(long status)
{
    constexpr long FirstFinal = 200;
    constexpr long LastKnown = 599;
    return status >= FirstFinal && status <= LastKnown;
}

/// Tells whether the answer that is being read has a status of its own, not one of an interim answer.
bool hasFinalStatus(const Transfer &transfer)
{
    long status = 0;
    curl_easy_getinfo(transfer.m_easy, CURLINFO_RESPONSE_CODE, &status);
    return isFinalStatus(status);
}

std::size_t onHeader(char *data, std::size_t /*one*/, std::size_t size, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    std::string line(data, size);
    line.erase(line.find_last_not_of("\r\n") + 1);
    if (transfer->m_isHeadComplete) {
        return size; // Trailers are not passed on.
    }
    if (line.empty()) {
        transfer->m_isHeadComplete = hasFinalStatus(*transfer);
        return size;
    }
    if (line.starts_with("HTTP/")) {
        transfer->m_answerHeaders.clear(); // An interim answer came before.
        transfer->m_saysNotRun = false;
        transfer->m_answerHeaderSize = 0;
        transfer->m_contentLength.clear();
        return size;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
        return size;
    }
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(" \t"));
    const std::string name = line.substr(0, colon);
    transfer->m_answerHeaderSize += size;
    if (transfer->m_answerHeaderSize > LargestAnswerHeader || !checkLength(*transfer, name, value)) {
        return 0; // Breaks off the transfer.
    }
    if (sameName(name, LoadHeader)) {
        transfer->m_load = loadReportFrom(value);
    }
    if (sameName(name, OutcomeHeader)) {
        transfer->m_saysNotRun = value == "not-run";
    }
    transfer->m_answerHeaders.push_back({name, value});
    return size;
}

std::size_t onBody(char *data, std::size_t /*one*/, std::size_t size, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    AnswerStream &stream = *transfer->m_order.m_stream;
    if (stream.m_body.write_available() < size) {
        if (!transfer->m_answered) {
            reportAnswer(*transfer, false);
        }
        stream.m_writerWaits.store(true);
        if (stream.m_body.write_available() < size) {
            transfer->m_paused = true;
            return CURL_WRITEFUNC_PAUSE;
        }
        stream.m_writerWaits.store(false);
    }
    stream.m_body.push(data, size);
    const bool isKept = !transfer->m_order.m_idempotent && transfer->m_keptBody.size() <= Dispatch::LargestStoredAnswer;
    if (isKept) {
        transfer->m_keptBody.append(data, size); // One piece past the limit tells that it was too large.
    }
    wakeReader(*transfer);
    return size;
}

/// Called right before the first byte of the request is sent, also when libcurl repeats a request by itself.
int onBeforeSend(void *context, char * /*remoteIp*/, char * /*localIp*/, int /*remotePort*/, int /*localPort*/)
{
    auto *transfer = static_cast<Transfer *>(context);
    const bool repeats = transfer->m_sent;
    transfer->m_sent = true;
    return repeats && !transfer->m_order.m_idempotent ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

/// Tells whether the answer itself says where it ends. One that ends with its connection may have been cut short by a crash.
/// Source: RFC 9112, section 6.3.
bool tellsItsEnd(const Transfer &transfer)
{
    constexpr long NoContent = 204;
    constexpr long NotModified = 304;
    long status = 0;
    curl_easy_getinfo(transfer.m_easy, CURLINFO_RESPONSE_CODE, &status);
    const bool hasNoBody = status == NoContent || status == NotModified || transfer.m_order.m_request->m_method == "HEAD";
    const bool isChunked = std::ranges::any_of(transfer.m_answerHeaders, [](const Header &header) { return sameName(header.m_name, "Transfer-Encoding"); });
    return hasNoBody || isChunked || !transfer.m_contentLength.empty();
}

AttemptFailure failureOf(CURLcode code)
{
    switch (code) {
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
        return AttemptFailure::ConnectFailed;
    case CURLE_OPERATION_TIMEDOUT:
        return AttemptFailure::TimedOut;
    case CURLE_PARTIAL_FILE:
        return AttemptFailure::CutShort;
    case CURLE_GOT_NOTHING:
    case CURLE_RECV_ERROR:
    case CURLE_SEND_ERROR:
    case CURLE_ABORTED_BY_CALLBACK: // onBeforeSend() forbade a repetition.
        return AttemptFailure::Broken;
    default:
        return AttemptFailure::Malformed;
    }
}

}

class BackendClient::Implementation
{
public:
    Implementation(const Settings::BackendSettings &settings, DecisionRing &decisions, std::function<void(Node::AttemptId)> onBytes)
        : m_settings(settings), m_decisions(decisions), m_onBytes(std::move(onBytes)), m_multi(curl_multi_init()), m_orders(OrderCapacity, [this] {
            curl_multi_wakeup(m_multi);
        })
    {
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, static_cast<long>(m_settings.m_idleConnections));
    }

    ~Implementation()
    {
        stop();
        for (auto &[id, transfer] : m_transfers) {
            curl_multi_remove_handle(m_multi, transfer->m_easy);
        }
        m_transfers.clear();
        curl_multi_cleanup(m_multi);
    }

    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    void start()
    {
        m_thread = std::thread([this] { run(); });
        pthread_setname_np(m_thread.native_handle(), "backend-client");
    }

    void stop()
    {
        m_stopping.store(true);
        curl_multi_wakeup(m_multi);
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    Ring<BackendOrder> &orders()
    {
        return m_orders;
    }

private:
    static constexpr std::size_t OrderCapacity = 16384;

    void run()
    {
        constexpr int LongestWaitMilliseconds = 1000;
        while (!m_stopping.load()) {
            drainOrders();
            int running = 0;
            curl_multi_perform(m_multi, &running);
            finishTransfers();
            curl_multi_poll(m_multi, nullptr, 0, LongestWaitMilliseconds, nullptr);
        }
    }

    void drainOrders()
    {
        m_orders.drain([this](BackendOrder &&order) {
            if (auto *send = std::get_if<SendRequest>(&order)) {
                begin(std::move(*send));
            } else if (const auto *cancel = std::get_if<CancelRequest>(&order)) {
                end(cancel->m_attempt);
            } else {
                unpause(std::get<SpaceReady>(order).m_attempt);
            }
        });
    }

    void begin(SendRequest order)
    {
        auto transfer = std::make_unique<Transfer>();
        transfer->m_order = std::move(order);
        transfer->m_easy = curl_easy_init();
        transfer->m_decisions = &m_decisions;
        transfer->m_onBytes = &m_onBytes;
        setRequest(*transfer);
        setCallbacks(*transfer);
        curl_multi_add_handle(m_multi, transfer->m_easy);
        m_transfers.emplace(transfer->m_order.m_attempt, std::move(transfer));
    }

    void setRequest(Transfer &transfer) const
    {
        CURL *easy = transfer.m_easy;
        const CallerRequest &request = *transfer.m_order.m_request;
        const long timeLeft = std::max<long>(1, millisecondsOf(transfer.m_order.m_timeLeft));
        const std::string url = (m_settings.m_usesTls ? "https://" : "http://") + transfer.m_order.m_address + request.m_target;
        curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
        curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeLeft);
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, std::min<long>(timeLeft, millisecondsOf(m_settings.m_connectTimeout)));
        if (m_settings.m_usesTls) {
            curl_easy_setopt(easy, CURLOPT_CAINFO, m_settings.m_authority.c_str());
        }
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        if (request.m_method == "HEAD") {
            curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        } else if (!request.m_body.empty() || request.m_method == "POST" || request.m_method == "PUT") {
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.m_body.size()));
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.m_body.data());
        }
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.m_method.c_str());
        setHeaders(transfer, timeLeft);
        if (!transfer.m_order.m_idempotent) {
            curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        }
    }

    static void setHeaders(Transfer &transfer, long timeLeft)
    {
        curl_slist *list = nullptr;
        // libcurl adds these by itself unless they are there, empty.
        for (const char *name : {"Expect:", "Accept:", "Content-Type:"}) {
            list = curl_slist_append(list, name);
        }
        for (const Header &header : transfer.m_order.m_request->m_headers) {
            const std::string line = header.m_value.empty() ? header.m_name + ';' : header.m_name + ": " + header.m_value;
            list = curl_slist_append(list, line.c_str());
        }
        list = curl_slist_append(list, (std::string(DeadlineHeader) + ": " + std::to_string(timeLeft)).c_str());
        transfer.m_requestHeaders = list;
        curl_easy_setopt(transfer.m_easy, CURLOPT_HTTPHEADER, list);
    }

    static void setCallbacks(Transfer &transfer)
    {
        CURL *easy = transfer.m_easy;
        curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, onHeader);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, onBody);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, onBeforeSend);
        curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
    }

    void finishTransfers()
    {
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            Transfer *transfer = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
            finish(*transfer, message->data.result);
            end(transfer->m_order.m_attempt);
        }
    }

    static void finish(Transfer &transfer, CURLcode code)
    {
        const bool whole = code == CURLE_OK && transfer.m_isHeadComplete && tellsItsEnd(transfer);
        transfer.m_order.m_stream->m_bodyState.store(whole ? BodyState::Whole : BodyState::CutShort);
        if (transfer.m_answered) {
            wakeReader(transfer);
            pushWaiting(*transfer.m_decisions, Node::AttemptEnded{transfer.m_order.m_attempt, whole});
        } else if (whole) {
            reportAnswer(transfer, true);
        } else {
            pushWaiting(*transfer.m_decisions, Node::AttemptFailed{transfer.m_order.m_attempt, failureOf(code), transfer.m_sent});
        }
    }

    void end(Node::AttemptId attempt)
    {
        const auto found = m_transfers.find(attempt);
        if (found != m_transfers.end()) {
            curl_multi_remove_handle(m_multi, found->second->m_easy);
            m_transfers.erase(found);
        }
    }

    void unpause(Node::AttemptId attempt)
    {
        const auto found = m_transfers.find(attempt);
        if (found != m_transfers.end() && found->second->m_paused) {
            found->second->m_paused = false;
            curl_easy_pause(found->second->m_easy, CURLPAUSE_CONT);
        }
    }

    Settings::BackendSettings m_settings;
    DecisionRing &m_decisions;
    std::function<void(Node::AttemptId)> m_onBytes;
    CURLM *m_multi;
    std::map<Node::AttemptId, std::unique_ptr<Transfer>> m_transfers;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
    Ring<BackendOrder> m_orders;
};

BackendClient::BackendClient(const Settings::BackendSettings &settings, DecisionRing &decisions, std::function<void(Node::AttemptId)> onBytes)
    : m_implementation(std::make_unique<Implementation>(settings, decisions, std::move(onBytes)))
{
}

BackendClient::~BackendClient() = default;

void BackendClient::start()
{
    m_implementation->start();
}

void BackendClient::stop()
{
    m_implementation->stop();
}

Reporting::Counters BackendClient::counters() const
{
    return {{"ring_refused{ring=\"backend-client\"}", m_implementation->orders().refused()}};
}

Ring<BackendOrder> &BackendClient::orders()
{
    return m_implementation->orders();
}

}
