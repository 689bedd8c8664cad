#include "measurement_registry.h"
#include "tables/tables.h"
#include "wire/wire.h"

namespace parsleyglade {

namespace {

constexpr std::size_t hostsPerPool = 6; // 890 workers in 164 pools are 5.4 for each pool.

pool makePool(std::size_t index)
{
    const std::string name = "pool-" + std::to_string(index);
    pool result{name, "service-" + std::to_string(index), "hai-phong", false, 0.995, 4, 8, 64, 0.5, "team-" + std::to_string(index % 120), {}};
    for (std::size_t host = 0; host < hostsPerPool; ++host) {
        const std::string centre = "data-centre-" + std::to_string(host % 4);
        result.hosts.push_back(
            {name + "-host-" + std::to_string(host), centre, centre + "-r1", "127.0.0.1:" + std::to_string(20'000 + index * hostsPerPool + host)});
    }
    return result;
}

route makeRoute(std::size_t index)
{
    const std::string number = std::to_string(index);
    return {"route-" + number,
            "POST",
            "/services/" + number + "/jobs",
            "pool-" + number,
            false,
            urgency::normal,
            30'000,
            800,
            262'144,
            "team-" + std::to_string(index % 120),
            false};
}

/** A proposal record of the configuration stream with both complete tables. Its size is the number of pools, each of which has 6 hosts and one route. */
class table_record_measurement final : public measurement
{
public:
    std::string name() const override
    {
        return "table record";
    }

    std::string sizeUnit() const override
    {
        return "pools";
    }

    std::vector<std::size_t> sizes() const override
    {
        return {5, 40, 164};
    }

    void build(std::size_t size) override
    {
        std::vector<pool> pools;
        std::vector<route> routes;
        for (std::size_t index = 0; index < size; ++index) {
            pools.push_back(makePool(index));
            routes.push_back(makeRoute(index));
        }
        wire::table_proposal proposal;
        proposal.baseRevision = 1'600;
        proposal.routes = route_table(std::move(routes)).canonicalJson();
        proposal.pools = pool_table(std::move(pools)).canonicalJson();
        proposal.author = "operator";
        proposal.note = "a change";
        proposal.proposal = 0x123456789abcdef;
        m_record.__set_proposal(proposal);
    }

    void release() override
    {
        m_record = wire::configuration_record();
        m_bytes = {};
    }

    std::vector<operation> operations() override
    {
        m_bytes = encode(m_record);
        return {{"encode",
                 [this] {
                     return encode(m_record).size();
                 }},
                {"decode", [this] {
                     return decode<wire::configuration_record>(m_bytes).hasValue() ? std::size_t{0} : std::size_t{1};
                 }}};
    }

private:
    wire::configuration_record m_record;
    std::string m_bytes;
};

const measurement_registry::registration registration(std::make_unique<table_record_measurement>());

} // namespace

} // namespace parsleyglade
