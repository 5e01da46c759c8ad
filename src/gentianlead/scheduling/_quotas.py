"""Quotas of teams and the resources that teams claim in one domain."""

from gentianlead import model

_NO_RESOURCES = model.Resources()


class QuotaLedger:
    """Compares the claims of each team in this domain with its quota share.

    A quota covers the whole deployment, but a domain knows only its own claims.
    The quota is therefore split equally among the domains in service, rounded
    up. A team may borrow free capacity beyond its share.
    """

    def __init__(self, configuration: model.Configuration):
        self._quotas_by_team: dict[str, model.Resources] = {}
        self._domain_shares_by_team: dict[str, model.Resources] = {}
        self._claimed_resources_by_team: dict[str, model.Resources] = {}
        self._urgent_claims_by_team: dict[str, model.Resources] = {}
        self.set_configuration(configuration)

    def set_configuration(self, configuration: model.Configuration) -> None:
        """Recomputes the quota shares from a new configuration."""
        in_service_count = sum(
            domain.is_in_service for domain in configuration.domains.values())
        domain_count = max(1, in_service_count)
        self._quotas_by_team = {
            team.name: team.quota for team in configuration.teams.values()
        }
        self._domain_shares_by_team = {
            team_name:
                model.Resources(*(-(-amount // domain_count)
                                  for amount in quota))
            for team_name, quota in self._quotas_by_team.items()
        }

    def is_known_team(self, team: str) -> bool:
        """Returns whether jobs of the team may run.

        This is the case if the team is configured, or if its name is empty,
        which stands for jobs without a team.
        """
        return not team or team in self._quotas_by_team

    def get_claimed_resources(self, team: str) -> model.Resources:
        """Returns the resources that the team claims in this domain."""
        return self._claimed_resources_by_team.get(team, _NO_RESOURCES)

    def get_domain_share(self, team: str) -> model.Resources:
        """Returns the team's quota share in this domain.

        The share has only zero amounts if the team is not configured.
        """
        return self._domain_shares_by_team.get(team, _NO_RESOURCES)

    def clear(self) -> None:
        """Removes all claims; quotas are kept."""
        self._claimed_resources_by_team.clear()
        self._urgent_claims_by_team.clear()

    def add_claim(self, spec: model.JobSpec,
                  resources: model.Resources) -> None:
        """Adds a claim of a job; negative resources subtract it."""
        self._claimed_resources_by_team[spec.team] = self.get_claimed_resources(
            spec.team).plus(resources)
        if spec.is_urgent:
            urgent_claims = self._urgent_claims_by_team.get(
                spec.team, _NO_RESOURCES)
            self._urgent_claims_by_team[spec.team] = urgent_claims.plus(
                resources)

    def would_borrow(self, team: str, resources: model.Resources) -> bool:
        """Returns whether a further claim would exceed the team's quota share.

        The team's claims plus `resources` are compared with its share in this
        domain; one exceeded amount is enough.
        """
        return not self.get_claimed_resources(team).plus(resources).fits_in(
            self.get_domain_share(team))

    def is_borrowing(self, team: str) -> bool:
        """Returns whether the team's claims exceed its share in any amount."""
        return not self.get_claimed_resources(team).fits_in(
            self.get_domain_share(team))

    def urgent_claims_fit_quota(self, team: str,
                                resources: model.Resources) -> bool:
        """Returns whether one more urgent claim would fit the team's quota.

        A domain's share may be smaller than one task. The urgent claims in this
        domain plus `resources` are therefore compared with the whole quota.
        There is no limit if no team is configured at all.
        """
        if not self._quotas_by_team:
            return True
        urgent_claims = self._urgent_claims_by_team.get(
            team, _NO_RESOURCES).plus(resources)
        return urgent_claims.fits_in(
            self._quotas_by_team.get(team, _NO_RESOURCES))

    def list_borrowers(self) -> list[str]:
        """Returns the teams above their quota share, largest excess first.

        The excess is relative to the share. It is that of the amount that
        exceeds its share the most.
        """
        excesses = [(_compute_relative_excess(claimed_resources,
                                              self.get_domain_share(team)),
                     team) for team, claimed_resources in
                    self._claimed_resources_by_team.items()]
        excesses.sort(key=lambda excess_and_team: -excess_and_team[0])
        return [
            team for relative_excess, team in excesses if relative_excess > 0
        ]


def _compute_relative_excess(claimed_resources: model.Resources,
                             domain_share: model.Resources) -> float:
    return max((amount - share_amount) / max(1, share_amount)
               for amount, share_amount in zip(claimed_resources, domain_share))
