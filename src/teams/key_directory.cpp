#include "teams/key_directory.h"

#include "core/digest.h"

namespace parsleyglade {

std::string digestOfKey(std::string_view key)
{
    return sha256(key);
}

key_directory::key_directory(const std::vector<team_policy> &teams)
{
    for (const team_policy &team : teams) {
        for (const std::string &digest : team.keyDigests) {
            m_teams.try_emplace(digest, team.name);
        }
    }
}

const std::string *key_directory::findTeam(const std::string &keyDigest) const
{
    const auto found = m_teams.find(keyDigest);
    return found == m_teams.end() ? nullptr : &found->second;
}

} // namespace parsleyglade
