/** Presence of controllers, leader election and shard assignment. */
export { Membership, type MembershipOptions, type MembershipPhase } from './membership.js';
