#include <ragwortrelay/detail/node/duties.h>

namespace RagwortRelay::Node::detail {

void onOperatorAsked(Node &node, const OperatorAsked &asked, TimePoint now, Actions &actions)
{
    if (const auto *edit = std::get_if<EditTable>(&asked.m_command)) {
        return queueEdit(node, asked.m_call, *edit, now, actions);
    }
    if (std::holds_alternative<ShowTable>(asked.m_command)) {
        actions.push_back(AnswerOperator{asked.m_call, TableShown{node.m_table}});
        return;
    }
    if (const auto *spread = std::get_if<ShowSpread>(&asked.m_command)) {
        actions.push_back(AnswerOperator{asked.m_call, showSpread(node, spread->m_version, now)});
        return;
    }
    if (std::holds_alternative<ShowMetrics>(asked.m_command)) {
        actions.push_back(
            AnswerOperator{asked.m_call, MetricsShown{Reporting::exposition(node.m_counters) + Reporting::exposition(node.m_serviceLevels.m_levels)}});
        return;
    }
    if (std::holds_alternative<ShowBurn>(asked.m_command)) {
        return startBurnReport(node, asked.m_call, actions);
    }
    StatusShown status;
    status.m_host = node.m_settings.m_host.text();
    status.m_version = node.m_table.m_version;
    status.m_ready = node.m_ready;
    status.m_requestsInFlight = node.m_exchanges.size();
    status.m_freshness = node.m_configuration.m_mode;
    status.m_hosts = showSpread(node, node.m_table.m_version, now).m_hosts;
    actions.push_back(AnswerOperator{asked.m_call, status});
}

}
